package owner

import (
	"sync"

	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
)

// firms bounds what the open programs of each firm may hold. Every host
// replays all streams, so that it knows what they hold by itself; creations
// at other hosts that are on their way are not known yet.
type firms struct {
	mu sync.Mutex
	// opening is what programs on their way into the log will hold.
	opening map[string]int64
}

// reserveFirm sets the budget of a new root aside until release is called.
func (s *Service) reserveFirm(firm string, amount int64) (release func(), err error) {
	s.firms.mu.Lock()
	defer s.firms.mu.Unlock()
	f := s.p.Config.Current().Firm(firm)
	if f != nil && f.BudgetTokens > 0 && s.heldBy(firm)+s.firms.opening[firm]+amount > f.BudgetTokens {
		s.count("firm_budget_refusals")
		refusal := fault.New(fault.BudgetExceeded, fault.NotRun, "the firm's open programs hold its budget")
		return func() {}, refusal.WithRetryAfter(retryAfter)
	}
	s.firms.opening[firm] += amount
	return func() { s.releaseFirm(firm, amount) }, nil
}

func (s *Service) releaseFirm(firm string, amount int64) {
	s.firms.mu.Lock()
	defer s.firms.mu.Unlock()
	s.firms.opening[firm] -= amount
	if s.firms.opening[firm] == 0 {
		delete(s.firms.opening, firm)
	}
}

// heldBy returns what the firm's open programs hold in all partitions.
func (s *Service) heldBy(firm string) int64 {
	l := s.layout.Load()
	if l == nil {
		return 0
	}
	var sum int64
	for _, p := range l.parts {
		sum += p.heldBy(firm)
	}
	return sum
}

func (p *part) heldBy(firm string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdings == nil {
		p.holdings = p.l.Holdings()
	}
	return p.holdings[firm]
}

// changesHoldings says whether a record may change what firms hold.
func changesHoldings(r *record.Record) bool {
	switch r.Body.(type) {
	case *record.Record_Turn, *record.Record_Intent, *record.Record_Undispatched, *record.Record_Slice, *record.Record_EvictAcked:
		return false
	}
	return true
}
