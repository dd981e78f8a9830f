package spending

import (
	"context"
	"time"

	"yuccausher/internal/gateway"
)

// decideLocally reserves tokens of the host's slice, or refuses a program whose
// budget is known to be spent. It returns false if neither applies and a claim is
// needed.
func (l *ledger) decideLocally(program string, total, maxTokens int64) (gateway.Reservation, error, bool) {
	if r, ok := l.begin(program, maxTokens); ok {
		return r, nil, true
	}
	if l.isStopped(program, time.Now()) {
		return nil, &gateway.BudgetSpentError{Program: program, Budget: total}, true
	}
	return nil, nil, false
}

// reserve reserves tokens of the host's slice, or claims more of them in the log, under account if
// that is not zero. Its
// errors are *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (l *ledger) reserve(ctx context.Context, program string, total, maxTokens int64, account uint64) (gateway.Reservation, error) {
	if g, err, ok := l.decideLocally(program, total, maxTokens); ok {
		return g, err
	}
	if l.availability.isOutdated() {
		// The read passes its result to availability, so that the turn need not be refused for an outage
		// that is over.
		_ = l.probe(ctx)
	}
	w := &waiter{program: program, budget: total, maxTokens: maxTokens, account: account, done: make(chan error, 1)}
	if err := l.enqueue(w); err != nil {
		return nil, unknownBudget(program, err)
	}
	ticker := time.NewTicker(unavailablePollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-w.done:
			if err != nil {
				return nil, err
			}
			return w.reservation, nil
		case <-ticker.C:
			if l.isUnavailable() {
				l.abandon(w)
				return nil, unknownBudget(program, errUnavailable)
			}
		case <-ctx.Done():
			l.abandon(w)
			return nil, unknownBudget(program, ctx.Err())
		}
	}
}
