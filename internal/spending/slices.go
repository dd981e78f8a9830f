package spending

import (
	"maps"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
)

// slice is this host's share of one program's budget.
type slice struct {
	budget.Slice
	program string
	budget  int64
	// largestTurn is the largest number of tokens that a turn has asked for.
	largestTurn int64
	usedAt      time.Time
	// waiting is how many turns wait for a claim.
	waiting int
	// isClaiming says that a claim has been sent and has no verdict yet. There is one
	// at a time, so that the latest claim is also the last one in the log.
	isClaiming bool
	// isUndecided says that the latest claim failed and may still take effect.
	isUndecided bool
	// loan is the claim that covers what the host has lent; nil if it has lent
	// nothing.
	loan *budget.Claim
	// settlements are closed once a claim is decided that counts what ended turns
	// have spent.
	settlements []chan struct{}
}

// reservation holds the tokens of a running turn. It implements gateway.Reservation.
type reservation struct {
	ledger    *ledger
	slice     *slice
	maxTokens int64
	spent     int64
	// settled is nil until the turn has ended, and closed once the log counts what it
	// has spent.
	settled <-chan struct{}
}

// Spend implements gateway.Reservation.
func (r *reservation) Spend(tokens int64) { r.spent += tokens }

// begin starts a turn if the host's slice has enough claimed tokens left. Tokens without
// a claim are lent anew for each turn, see lend.
func (l *ledger) begin(program string, maxTokens int64) (gateway.Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slices[program]
	if s == nil || l.isOverdrawn(s) || !s.BeginClaimed(maxTokens) {
		return nil, false
	}
	s.usedAt = time.Now()
	l.metrics.fromSlice.Inc(1)
	return &reservation{ledger: l, slice: s, maxTokens: maxTokens}, true
}

// isOverdrawn reports whether the claims of all hosts exceed the budget, as they may
// after loans. No host may then spend what is left of its slice: it has to give it back
// and claim anew. The caller holds l.mu.
func (l *ledger) isOverdrawn(s *slice) bool { return l.book.Claimed(s.program) > s.budget }

// sliceOf returns the host's slice of a program. Tokens that were held by a slice
// that has since been dropped count as spent. The caller holds l.mu.
func (l *ledger) sliceOf(program string, total int64) *slice {
	s := l.slices[program]
	if s == nil {
		held := l.book.Held(program, l.writer)
		s = &slice{program: program, Slice: budget.Slice{Confirmed: held, Spent: held}}
		l.slices[program] = s
	}
	s.budget = total
	return s
}

// sweep gives back the unused parts of idle slices that may not hold tokens ahead, and drops the state of programs without recent turns.
func (l *ledger) sweep(now time.Time, retention time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for program, s := range l.slices {
		idle := now.Sub(s.usedAt)
		switch {
		case s.waiting > 0 || s.isClaiming:
		case idle > sliceTTL && s.Open == 0 && len(s.settlements) == 0:
			delete(l.slices, program)
		case idle > sliceIdleTimeout && s.Unused() > 0 && !l.mayHoldAhead(s) && !l.isSlow():
			l.releases[program] = s
		}
	}
	maps.DeleteFunc(l.stoppedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	oldest := now.Add(-max(retention, minRetention))
	l.book.Forget(oldest)
	l.loans.Forget(oldest)
	maps.DeleteFunc(l.givenBack, func(_ string, g givenBack) bool { return g.at.Before(oldest) })
	maps.DeleteFunc(l.notified, func(_ string, a notifiedClaims) bool { return a.receivedAt.Before(oldest) })
	if len(l.releases) > 0 {
		l.signalWriter()
	}
}

// holdAheadTurns is how many turns of the largest size must fit the unclaimed part of a
// budget for a host to hold tokens beyond its turns under way. What a host holds when it
// ends stays claimed.
const holdAheadTurns = 16

// mayHoldAhead reports whether the slice may hold tokens for which no turn is under way.
// The caller holds l.mu.
func (l *ledger) mayHoldAhead(s *slice) bool {
	return s.budget-l.book.Claimed(s.program) >= holdAheadTurns*s.largestTurn
}
