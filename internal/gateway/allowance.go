package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/tail"
)

// leastPartDivisor is the part of its most tokens that a turn needs to begin with. Most turns end within
// it; the others wait for the rest.
const leastPartDivisor = 4

// partRetryInterval is how often a turn under way asks for the rest of its most tokens.
const partRetryInterval = 100 * time.Millisecond

// allowance is what a turn may spend of its program's budget: one reservation, or several if the
// turn began with a part of its most tokens.
type allowance struct {
	parts []*allowancePart
	// limit is how many tokens the parts hold together.
	limit int64
}

type allowancePart struct {
	Reservation
	left int64
}

func (a *allowance) add(r Reservation) {
	a.parts = append(a.parts, &allowancePart{Reservation: r, left: r.Limit()})
	a.limit += r.Limit()
}

// left returns how many tokens are left; negative if the turn has spent more than it may.
func (a *allowance) left() int64 {
	var left int64
	for _, p := range a.parts {
		left += p.left
	}
	return left
}

// spend counts tokens that were sent to the caller. What exceeds the limit counts against the last
// part.
func (a *allowance) spend(tokens int64) {
	for i, p := range a.parts {
		n := min(tokens, p.left)
		if i == len(a.parts)-1 {
			n = tokens
		}
		if n > 0 {
			p.Spend(n)
			p.left -= n
			tokens -= n
		}
	}
}

// release returns the unspent tokens to the budget, without waiting.
func (a *allowance) release() {
	for _, p := range a.parts {
		p.Release()
	}
}

// settle releases the allowance and waits until the spent tokens are recorded. It may be called again
// after an error.
func (a *allowance) settle(ctx context.Context) error {
	a.release()
	for _, p := range a.parts {
		if err := p.Settle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// AllowanceEndedError reports that a turn, which had begun with a part of its most tokens, did not get
// the rest.
type AllowanceEndedError struct {
	// Limit is how many tokens the turn may spend.
	Limit int64
	Cause error
}

// Error implements error.
func (e *AllowanceEndedError) Error() string {
	return "turn has spent the " + strconv.FormatInt(e.Limit, 10) + " tokens that were reserved for it"
}

// Unwrap returns the cause.
func (e *AllowanceEndedError) Unwrap() error { return e.Cause }

// coverEvent makes sure that the tokens of the next event are reserved. It waits until ctx ends for a
// turn that has begun with a part of its most tokens and needs more; its target waits meanwhile. The
// error is an *AllowanceEndedError.
func (j *job) coverEvent(ctx context.Context) error {
	a := j.allowance
	if a == nil {
		return nil
	}
	for a.limit < j.call.MaxOutput && a.left() < j.eventTokens {
		r, err := j.reservePart(ctx, j.call.MaxOutput-a.limit)
		if err == nil {
			j.g.metrics.furtherReservations.Inc(1)
			a.add(r)
			continue
		}
		var unknown *BudgetUnknownError
		if !errors.As(err, &unknown) {
			return &AllowanceEndedError{Limit: a.limit, Cause: err}
		}
		tail.Sleep(ctx, partRetryInterval)
		if ctx.Err() != nil {
			return &AllowanceEndedError{Limit: a.limit, Cause: err}
		}
	}
	return nil
}

// reservePart reserves tokens of the program's budget: maxTokens, or a part of them while spending can't
// be recorded.
func (j *job) reservePart(ctx context.Context, maxTokens int64) (Reservation, error) {
	least := (maxTokens + leastPartDivisor - 1) / leastPartDivisor
	return j.g.budgets.ReservePart(ctx, j.call.Program, j.call.Budget, least, maxTokens)
}
