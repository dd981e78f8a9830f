package owner

import (
	"sync"

	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
)

// organisations limits the total budget of each organisation's open programs. Every
// host replays all streams and so knows the budgets of all open programs, except
// for programs that other hosts are opening at the same time.
type organisations struct {
	mu sync.Mutex
	// reserved is the budget, in tokens, of programs whose open records are in
	// flight, by organisation.
	reserved map[string]int64
}

// reserveOrganisation reserves amount tokens of an organisation's budget for a new
// root program until release is called. It returns a *fault.Fault if the budget is
// exhausted.
func (s *Service) reserveOrganisation(organisation string, amount int64) (release func(), err error) {
	s.organisations.mu.Lock()
	defer s.organisations.mu.Unlock()
	f := s.params.Config.Current().Organisation(organisation)
	if f != nil && f.BudgetTokens > 0 && s.openBudgetOf(organisation)+s.organisations.reserved[organisation]+amount > f.BudgetTokens {
		s.count("firm_budget_refusals")
		refusal := fault.New(fault.BudgetExceeded, fault.NotRun, "the firm's open programs hold its budget")
		return func() {}, refusal.WithRetryAfter(retryAfter)
	}
	s.organisations.reserved[organisation] += amount
	return func() { s.releaseOrganisation(organisation, amount) }, nil
}

func (s *Service) releaseOrganisation(organisation string, amount int64) {
	s.organisations.mu.Lock()
	defer s.organisations.mu.Unlock()
	s.organisations.reserved[organisation] -= amount
	if s.organisations.reserved[organisation] == 0 {
		delete(s.organisations.reserved, organisation)
	}
}

// openBudgetOf returns the total budget in tokens of the organisation's open
// programs in all partitions.
func (s *Service) openBudgetOf(organisation string) int64 {
	l := s.layout.Load()
	if l == nil {
		return 0
	}
	var sum int64
	for _, p := range l.partitions {
		sum += p.openBudgetOf(organisation)
	}
	return sum
}

func (p *partitionState) openBudgetOf(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openBudgets == nil {
		p.openBudgets = p.ledger.OpenBudgets()
	}
	return p.openBudgets[organisation]
}

// changesOpenBudgets reports whether a record may change the budgets of
// organisations' open programs.
func changesOpenBudgets(r *record.Record) bool {
	switch r.Body.(type) {
	case *record.Record_Turn, *record.Record_Intent, *record.Record_Undispatched, *record.Record_Slice, *record.Record_EvictAcked:
		return false
	}
	return true
}
