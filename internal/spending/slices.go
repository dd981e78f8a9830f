package spending

import (
	"maps"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
)

// slice is this host's share of one program's budget, or an account: what it has claimed for one
// reservation of another host, under the writer that the other host has named.
type slice struct {
	budget.Slice
	program string
	// account is the writer of an account, and zero for the host's own share.
	account uint64
	// accounts holds the accounts of the program by writer; nil for an account.
	accounts map[uint64]*slice
	// own is the host's own share, for an account.
	own *slice
	// inFlight is how many claims of the program have been sent and have no verdict yet, for the
	// host's own share. Turns that come meanwhile wait, so that the next append serves them together.
	inFlight int
	budget   int64
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

// sliceKey identifies a slice of a ledger.
type sliceKey struct {
	program string
	account uint64
}

// slice returns the host's own slice of a program if account is zero, and that of the account
// otherwise; nil if there is none. The caller holds l.mu.
func (l *ledger) slice(program string, account uint64) *slice {
	s := l.slices[program]
	if s == nil || account == 0 {
		return s
	}
	return s.accounts[account]
}

// sliceOfWriter returns the slice that holds the claims of a writer, or nil. The caller holds
// l.mu.
func (l *ledger) sliceOfWriter(program string, writer uint64) *slice {
	if writer == l.writer {
		return l.slices[program]
	}
	return l.slice(program, writer)
}

// writerOf returns the writer of a slice's claims.
func (l *ledger) writerOf(s *slice) uint64 {
	if s.account != 0 {
		return s.account
	}
	return l.writer
}

// release has the slice's total claimed anew. The caller holds l.mu.
func (l *ledger) release(s *slice) {
	l.releases[sliceKey{program: s.program, account: s.account}] = s
}

// sliceFor returns the slice that a waiting turn claims for. A turn of another host gets an account,
// except while the budget has so much room that hosts hold tokens ahead: the turn and those that
// follow it then need one claim only. The caller holds l.mu.
func (l *ledger) sliceFor(w *waiter) *slice {
	own := l.sliceOf(w.program, w.budget)
	if w.account == 0 {
		return own
	}
	if a := own.accounts[w.account]; a != nil {
		return a
	}
	own.largestTurn = max(own.largestTurn, w.maxTokens)
	if l.mayHoldAhead(own) {
		w.account = 0
		return own
	}
	a := &slice{program: w.program, account: w.account, own: own, budget: w.budget, usedAt: time.Now()}
	if own.accounts == nil {
		own.accounts = make(map[uint64]*slice)
	}
	own.accounts[w.account] = a
	return a
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

// Limit implements gateway.Reservation.
func (r *reservation) Limit() int64 { return r.maxTokens }

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
		case idle > sliceTTL && s.Open == 0 && len(s.settlements) == 0 && len(s.accounts) == 0:
			delete(l.slices, program)
		case idle > sliceIdleTimeout && s.Unused() > 0 && !l.mayHoldAhead(s) && !l.isSlow():
			l.release(s)
		}
		maps.DeleteFunc(s.accounts, func(_ uint64, a *slice) bool { return a.hasEnded(now) })
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

// share returns the host's own share of the program's budget.
func (s *slice) share() *slice {
	if s.own != nil {
		return s.own
	}
	return s
}

// hasEnded reports whether an account is no longer needed: its turn has ended, and the log counts
// what it has spent.
func (s *slice) hasEnded(now time.Time) bool {
	isIdle := s.Open == 0 && s.waiting == 0 && now.Sub(s.usedAt) > refusedRetryDelay
	isRecorded := s.Needed(0) == s.Confirmed && !s.isClaiming && !s.isUndecided && len(s.settlements) == 0
	return isIdle && isRecorded
}

// mayHoldAhead reports whether the slice may hold tokens for which no turn is under way.
// The caller holds l.mu.
func (l *ledger) mayHoldAhead(s *slice) bool {
	return s.account == 0 && s.budget-l.book.Claimed(s.program) >= holdAheadTurns*s.largestTurn
}
