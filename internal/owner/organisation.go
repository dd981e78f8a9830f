package owner

import (
	"sync"

	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
)

// organisations bounds what the open programs of each organisation may hold.
// Every host replays all streams, so that it knows what they hold by itself;
// creations at other hosts that are on their way are not known yet.
type organisations struct {
	mu sync.Mutex
	// opening is what programs on their way into the log will hold.
	opening map[string]int64
}

// reserveOrganisation sets the budget of a new root aside until release is
// called.
func (s *Service) reserveOrganisation(organisation string, amount int64) (release func(), err error) {
	s.organisations.mu.Lock()
	defer s.organisations.mu.Unlock()
	f := s.p.Config.Current().Organisation(organisation)
	if f != nil && f.BudgetTokens > 0 && s.heldBy(organisation)+s.organisations.opening[organisation]+amount > f.BudgetTokens {
		s.count("firm_budget_refusals")
		refusal := fault.New(fault.BudgetExceeded, fault.NotRun, "the firm's open programs hold its budget")
		return func() {}, refusal.WithRetryAfter(retryAfter)
	}
	s.organisations.opening[organisation] += amount
	return func() { s.releaseOrganisation(organisation, amount) }, nil
}

func (s *Service) releaseOrganisation(organisation string, amount int64) {
	s.organisations.mu.Lock()
	defer s.organisations.mu.Unlock()
	s.organisations.opening[organisation] -= amount
	if s.organisations.opening[organisation] == 0 {
		delete(s.organisations.opening, organisation)
	}
}

// heldBy returns what the organisation's open programs hold in all partitions.
func (s *Service) heldBy(organisation string) int64 {
	l := s.layout.Load()
	if l == nil {
		return 0
	}
	var sum int64
	for _, p := range l.parts {
		sum += p.heldBy(organisation)
	}
	return sum
}

func (p *part) heldBy(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdings == nil {
		p.holdings = p.l.OpenBudgets()
	}
	return p.holdings[organisation]
}

// changesHoldings says whether a record may change what organisations hold.
func changesHoldings(r *record.Record) bool {
	switch r.Body.(type) {
	case *record.Record_Turn, *record.Record_Intent, *record.Record_Undispatched, *record.Record_Slice, *record.Record_EvictAcked:
		return false
	}
	return true
}
