package spending

import (
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

// pendingClaim is a claim that is to be appended, or was appended and has no verdict
// yet, with the turns that wait for it.
type pendingClaim struct {
	claim budget.Claim
	// slice is nil for a claim that ends an account of another host.
	slice   *slice
	waiters []*waiter
	// settlements are those of turns that have ended before the claim was made.
	settlements []chan struct{}
	// confirmed and wasUndecided are the slice's as they were before the claim.
	confirmed    int64
	wasUndecided bool
}

// collect takes turns off the queue and returns the next batch of claims, one per
// slice and at most maxBatch. It adds the claims that give back the unused parts of
// slices.
func (l *ledger) collect() []*pendingClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	bySlice := make(map[*slice]*pendingClaim)
	var batch []*pendingClaim
	var rest []*waiter
	now := time.Now()
	for _, w := range l.queue {
		if w.isAbandoned {
			continue
		}
		if now.Before(l.stoppedUntil[w.program]) {
			l.refuse(w)
			continue
		}
		s := l.sliceFor(w)
		p, own := bySlice[s], l.slices[w.program]
		if p == nil && own.Needed(0) > own.Confirmed {
			// What turns have already got is claimed first: it counts in any case, and a
			// refused claim would take its place in the log.
			l.release(own)
			rest = append(rest, w)
			continue
		}
		if s != own && own.Unused() > 0 && !l.mayHoldAhead(own) {
			// The account needs the tokens that the slice no longer does.
			l.release(own)
		}
		needsOwnClaim := p != nil && (w.isSingle || p.waiters[0].isSingle)
		if needsOwnClaim || p == nil && own.inFlight > 0 || len(batch) >= maxBatch {
			rest = append(rest, w)
			continue
		}
		if p == nil {
			p = &pendingClaim{slice: s}
			bySlice[s] = p
			batch = append(batch, p)
		}
		p.waiters = append(p.waiters, w)
	}
	l.queue = rest
	var first []*pendingClaim
	for key, s := range l.releases {
		if s.share().inFlight > 0 || bySlice[s] != nil || len(first)+len(batch) >= maxBatch {
			continue
		}
		delete(l.releases, key)
		first = append(first, &pendingClaim{slice: s})
	}
	batch = append(first, batch...)
	for _, p := range batch {
		l.prepareClaim(p)
	}
	return append(l.endings(batch), batch...)
}

// hasWrites reports whether collect may return a batch.
func (l *ledger) hasWrites() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)+len(l.releases) > 0
}

// prepareClaim fills in the claim of p: its total, its sequence number and whether it
// is settled.
func (l *ledger) prepareClaim(p *pendingClaim) {
	s := p.slice
	p.confirmed, p.wasUndecided = s.Confirmed, s.isUndecided
	var requested int64
	for _, w := range p.waiters {
		requested += w.maxTokens
		s.largestTurn = max(s.largestTurn, w.maxTokens)
	}
	total := s.Needed(requested)
	isSettled := false
	switch {
	case len(p.waiters) == 0 && total > s.Confirmed:
		isSettled = true
	case len(p.waiters) == 0:
		// The part that is given back must not be spent from here on, whether or not
		// the append takes effect.
		s.Confirmed = total
	case l.isOverdrawn(s):
		// What is left of the slice beyond the need of the waiting turns is given back.
		s.Confirmed = min(s.Confirmed, total)
	case !p.waiters[0].isSingle && l.mayHoldAhead(s):
		total = s.ClaimTotal(requested, s.budget, l.book.Claimed(s.program), l.isSlow() || l.isPreferredHost())
	}
	total = max(total, s.Confirmed)
	s.waiting += len(p.waiters)
	s.isClaiming = true
	s.share().inFlight++
	p.settlements, s.settlements = s.settlements, nil
	l.sequence++
	s.Sequence = l.sequence
	p.claim = budget.Claim{Writer: l.writerOf(s), Sequence: l.sequence, Program: s.program, Budget: s.budget, Total: total, Settled: isSettled}
}

// requeue puts the turns of claims that could not be written because of cause back into
// the queue.
func (l *ledger) requeue(batch []*pendingClaim, cause error) {
	var failed *port.SharedLogError
	hadNoEffect := errors.As(cause, &failed) && failed.HadNoEffect()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range batch {
		s := p.slice
		if s == nil {
			continue // An ending remains among the loans.
		}
		s.waiting -= len(p.waiters)
		s.isClaiming = false
		s.share().inFlight--
		s.isUndecided = true
		if hadNoEffect {
			s.Confirmed, s.isUndecided = p.confirmed, p.wasUndecided
		}
		if len(p.waiters) == 0 {
			l.release(s)
		}
		l.settleLater(p)
		for _, w := range p.waiters {
			if !w.isAbandoned {
				l.queue = append(l.queue, w)
			}
		}
		l.releaseUndecided(s)
		delete(l.verdicts, p.claim.Sequence)
	}
}

// resolveBatch resolves the turns of claims whose verdicts have been read from the
// log.
func (l *ledger) resolveBatch(batch []*pendingClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, p := range batch {
		if p.slice == nil {
			continue
		}
		verdict := l.verdicts[p.claim.Sequence]
		delete(l.verdicts, p.claim.Sequence)
		s := p.slice
		s.waiting -= len(p.waiters)
		s.isClaiming = false
		s.share().inFlight--
		s.isUndecided = false
		s.usedAt = now
		if verdict == budget.Refused {
			// The total in the log is still that of an earlier claim.
			l.settleLater(p)
		}
		p.settle()
		for _, w := range p.waiters {
			l.resolve(w, s, verdict)
		}
		if s.Unused() > 0 && !l.mayHoldAhead(s) {
			// The turn that the tokens were claimed for has been given up.
			l.release(s)
		}
		if len(p.waiters) > 0 {
			l.metrics.claims(verdict)
			l.notifyIfNearlyClaimed(s)
			l.log.Info("Claim decided.", "program", s.program, "verdict", verdict.String(), "budget", s.budget,
				"claimed", l.book.Claimed(s.program), "total", p.claim.Total, "offset", l.applied)
		}
	}
}

// resolve grants a turn if its claim was accepted and covers it. A turn that does not
// fit the budget by itself is tried once more after refusedRetryDelay, and then
// refused. In all other cases, for instance if a claim for several turns was refused,
// the turn gets a claim of its own.
func (l *ledger) resolve(w *waiter, s *slice, verdict budget.Verdict) {
	if verdict == budget.Accepted && l.isOverdrawn(s) {
		// A claim that does not raise the host's total is accepted in any case.
		verdict = budget.Refused
	}
	switch {
	case w.isAbandoned:
	case verdict == budget.Refused && w.inDoubt && l.exceeds(w, s):
		w.done <- unknownBudget(w.program, errInDoubt)
	case verdict == budget.Stale && s.account != 0:
		w.done <- unknownBudget(w.program, errAccountEnded)
	case verdict == budget.Accepted && s.BeginClaimed(w.maxTokens):
		w.reservation = &reservation{ledger: l, slice: s, maxTokens: w.maxTokens}
		w.done <- nil
	case verdict == budget.Refused && l.exceeds(w, s) && w.hasWaited:
		l.stopProgram(w)
	case verdict == budget.Refused && l.exceeds(w, s):
		w.hasWaited, w.isSingle = true, true
		// Other hosts may give back unused parts of their slices in the meantime.
		time.AfterFunc(refusedRetryDelay, func() { l.enqueueAgain(w) })
	default:
		w.isSingle = true
		l.queue = append(l.queue, w)
	}
}

// errAccountEnded says that the asking host has ended an account before it was claimed.
var errAccountEnded = errors.New("asking host has ended the reservation")

// exceeds reports whether the turn by itself does not fit the budget, according to
// the book. The caller holds l.mu.
func (l *ledger) exceeds(w *waiter, s *slice) bool {
	return l.book.Claimed(w.program)+s.Needed(w.maxTokens)-s.Confirmed > w.budget
}

// enqueueAgain puts a turn back into the queue.
func (l *ledger) enqueueAgain(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, w)
	l.signalWriter()
}

// stopProgram refuses a turn, and for stoppedTTL all further turns of its program.
func (l *ledger) stopProgram(w *waiter) {
	l.stoppedUntil[w.program] = time.Now().Add(stoppedTTL)
	l.refuse(w)
	l.log.Info("Budget spent; refusing further turns of the program.", "program", w.program, "budget", w.budget,
		"claimed", l.book.Claimed(w.program), "offset", l.applied)
}

// refuse answers a turn with a *gateway.BudgetSpentError. The caller holds l.mu.
func (l *ledger) refuse(w *waiter) {
	w.done <- &gateway.BudgetSpentError{Program: w.program, Budget: w.budget, Spent: l.book.Claimed(w.program)}
}

// markStopped refuses turns of a program for stoppedTTL, because another host
// reported its budget as spent or because this host's loans have used it up.
func (l *ledger) markStopped(program string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppedUntil[program] = time.Now().Add(stoppedTTL)
}

// isStopped reports whether turns of the program are refused without a further claim.
func (l *ledger) isStopped(program string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.stoppedUntil[program])
}
