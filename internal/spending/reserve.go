package spending

import (
	"context"
	"time"

	"yuccausher/internal/gateway"
)

// decideAlone takes tokens out of the host's slice, or refuses a program that
// is known to have spent its budget. It returns false if others have to be asked.
func (l *ledger) decideLocally(program string, total, most int64) (gateway.Reservation, error, bool) {
	if r, ok := l.begin(program, most); ok {
		return r, nil, true
	}
	if l.isStopped(program, time.Now()) {
		return nil, &gateway.BudgetSpentError{Program: program, Budget: total}, true
	}
	return nil, nil, false
}

// reserve takes tokens out of the host's slice, or claims more of them in the
// log. Its errors are *gateway.BudgetSpentError and
// *gateway.BudgetUnknownError.
func (l *ledger) reserve(ctx context.Context, program string, total, most int64) (gateway.Reservation, error) {
	if g, err, ok := l.decideLocally(program, total, most); ok {
		return g, err
	}
	w := &waiter{program: program, budget: total, maxTokens: most, done: make(chan error, 1)}
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
