package spending

import (
	"context"
	"time"

	"github.com/juju/errors"

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
	claimable, inDoubt := l.claimableBudget(ctx, program, total, maxTokens)
	w := &waiter{program: program, budget: claimable, inDoubt: inDoubt, maxTokens: maxTokens, account: account, done: make(chan error, 1)}
	g, err := l.await(ctx, w)
	if !errors.Is(err, errInDoubt) {
		return g, err
	}
	// The claims and the marks of other hosts were not known before.
	if l.isInDoubt() && !l.learnLoans(ctx) {
		return nil, &gateway.BudgetUnknownError{Program: program, RetryAfter: doubtRetryAfter, Cause: errInDoubt}
	}
	return l.await(ctx, &waiter{program: program, budget: total, maxTokens: maxTokens, account: account, done: make(chan error, 1)})
}

// await queues a turn for a claim and waits until it is decided. Its errors are
// *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (l *ledger) await(ctx context.Context, w *waiter) (gateway.Reservation, error) {
	program := w.program
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
