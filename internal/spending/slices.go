package spending

import (
	"maps"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
)

// slice is the host's part of one program's budget.
type slice struct {
	budget.Slice
	program string
	budget  int64
	// most is the largest turn that was asked for.
	most   int64
	usedAt time.Time
	// wanted is how many turns wait for a claim.
	wanted int
	// isClaiming says that a claim is on its way. One at a time is, so that the
	// last one written is the last one in the log.
	isClaiming bool
	// loan is the claim that the host's loans need; nil if there are none.
	loan *budget.Claim
}

// reservation is a turn under way. It implements gateway.Reservation.
type reservation struct {
	ledger *ledger
	slice  *slice
	most   int64
	spent  int64
}

// Spend implements gateway.Reservation.
func (r *reservation) Spend(tokens int64) { r.spent += tokens }

// End implements gateway.Reservation.
func (r *reservation) Release() {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r.slice.End(r.most, r.spent)
	r.slice.usedAt = time.Now()
	if r.slice.Unused() == 0 && r.slice.Needed(0) > r.slice.Confirmed {
		l.log.Info("A turn has spent more than it reserved.", "program", r.slice.program,
			"reserved", r.most, "spent", r.spent)
	}
}

// begin starts a turn if the host's slice holds it.
func (l *ledger) begin(program string, most int64) (gateway.Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slices[program]
	if s == nil || !s.Begin(most) {
		return nil, false
	}
	s.usedAt = time.Now()
	l.metrics.fromSlice.Inc(1)
	return &reservation{ledger: l, slice: s, most: most}, true
}

// sliceOf returns the host's slice of a program. What an earlier, forgotten
// slice held counts as spent.
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

// sweep gives back what idle slices hold of budgets that are nearly claimed,
// and forgets programs that are silent.
func (l *ledger) sweep(now time.Time, retention time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for program, s := range l.slices {
		idle := now.Sub(s.usedAt)
		switch {
		case s.wanted > 0 || s.isClaiming:
		case idle > forgetAfter && s.Open == 0:
			delete(l.slices, program)
		case idle > idleAfter && s.Unused() > 0 && l.isTight(s) && !l.isSlow():
			l.releases[program] = s
		}
	}
	maps.DeleteFunc(l.stopped, func(_ string, until time.Time) bool { return now.After(until) })
	oldest := now.Add(-max(retention, minMemory))
	l.book.Forget(oldest)
	l.loans.Forget(oldest)
	maps.DeleteFunc(l.announced, func(_ string, a announced) bool { return a.at.Before(oldest) })
	if len(l.releases) > 0 {
		l.wake()
	}
}

// tightTurns is how many further turns a budget must have room for, so that
// other hosts do not miss what a slice holds: those that may have claimed since
// this host has last read the log.
const tightTurns = 4

// isTight says whether other hosts may soon miss what the slice holds.
func (l *ledger) isTight(s *slice) bool {
	return s.budget-l.book.Claimed(s.program) < tightTurns*s.most
}
