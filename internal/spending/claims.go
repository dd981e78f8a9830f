package spending

import (
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
)

// pending is a claim on its way with the turns that wait for it.
type pendingClaim struct {
	claim   budget.Claim
	slice   *slice
	waiters []*waiter
}

// collect makes the next claims.
func (l *ledger) collect() []*pendingClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	byProgram := make(map[string]*pendingClaim)
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
		p := byProgram[w.program]
		s := l.sliceOf(w.program, w.budget)
		isApart := p != nil && (w.isSingle || p.waiters[0].isSingle)
		if isApart || p == nil && s.isClaiming || len(batch) >= maxBatch {
			rest = append(rest, w)
			continue
		}
		if p == nil {
			p = &pendingClaim{slice: s}
			byProgram[w.program] = p
			batch = append(batch, p)
		}
		p.waiters = append(p.waiters, w)
	}
	l.queue = rest
	for _, p := range batch {
		l.prepareClaim(p)
	}
	for program, s := range l.releases {
		if s.isClaiming || len(batch) >= maxBatch {
			continue
		}
		delete(l.releases, program)
		if byProgram[program] == nil {
			p := &pendingClaim{slice: s}
			l.prepareClaim(p)
			batch = append(batch, p)
		}
	}
	return batch
}

// claim fills in what a pending claim asks for.
func (l *ledger) prepareClaim(p *pendingClaim) {
	s := p.slice
	var most int64
	for _, w := range p.waiters {
		most += w.maxTokens
		s.largestTurn = max(s.largestTurn, w.maxTokens)
	}
	total := s.Needed(most)
	isSettled := false
	switch {
	case len(p.waiters) == 0 && total > s.Confirmed:
		isSettled = true
	case len(p.waiters) == 0:
		// From now on the part that is given back must not be spent, whether
		// or not the claim arrives.
		s.Confirmed = total
	case !p.waiters[0].isSingle:
		total = s.Ahead(most, s.budget, l.book.Claimed(s.program), l.isSlow() || l.isPreferredHost())
	}
	total = max(total, s.Confirmed)
	s.waiting += len(p.waiters)
	s.isClaiming = true
	l.sequence++
	s.Sequence = l.sequence
	p.claim = budget.Claim{Writer: l.writer, Sequence: l.sequence, Program: s.program, Budget: s.budget, Total: total, Settled: isSettled}
}

// requeue puts the turns back whose claims failed.
func (l *ledger) requeue(batch []*pendingClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range batch {
		s := p.slice
		s.waiting -= len(p.waiters)
		s.isClaiming = false
		isWanted := false
		for _, w := range p.waiters {
			if !w.isAbandoned {
				l.queue = append(l.queue, w)
				isWanted = true
			}
		}
		if !isWanted {
			// The claim may still arrive; another one tells what is needed.
			l.releases[s.program] = s
		}
		delete(l.verdicts, p.claim.Sequence)
	}
}

// decide answers the turns of claims that were read back.
func (l *ledger) resolveBatch(batch []*pendingClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, p := range batch {
		verdict := l.verdicts[p.claim.Sequence]
		delete(l.verdicts, p.claim.Sequence)
		s := p.slice
		s.waiting -= len(p.waiters)
		s.isClaiming = false
		s.usedAt = now
		for _, w := range p.waiters {
			l.resolve(w, s, verdict)
		}
		if len(p.waiters) > 0 {
			l.metrics.claims(verdict)
			l.notifyIfNearlyClaimed(s)
			l.log.Info("Claimed.", "program", s.program, "verdict", verdict.String(), "budget", s.budget,
				"claimed", l.book.Claimed(s.program), "total", p.claim.Total, "offset", l.applied)
		}
	}
}

// answer grants a turn, asks for it alone after a larger claim was refused, or
// refuses it for good.
func (l *ledger) resolve(w *waiter, s *slice, verdict budget.Verdict) {
	switch {
	case w.isAbandoned:
	case verdict == budget.Accepted && s.Begin(w.maxTokens):
		w.reservation = &reservation{ledger: l, slice: s, maxTokens: w.maxTokens}
		w.done <- nil
	case verdict == budget.Refused && l.exceeds(w, s) && w.hasWaited:
		l.stopProgram(w)
	case verdict == budget.Refused && l.exceeds(w, s):
		w.hasWaited, w.isSingle = true, true
		time.AfterFunc(refusedRetryDelay, func() { l.enqueueAgain(w) })
	default:
		w.isSingle = true
		l.queue = append(l.queue, w)
	}
}

// exceeds says whether the turn alone does not fit the budget, by the book.
func (l *ledger) exceeds(w *waiter, s *slice) bool {
	return l.book.Claimed(w.program)+s.Needed(w.maxTokens)-s.Confirmed > w.budget
}

// again asks for a claim once more.
func (l *ledger) enqueueAgain(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, w)
	l.signalWriter()
}

// stop refuses a turn for good, and those of its program that follow.
func (l *ledger) stopProgram(w *waiter) {
	l.stoppedUntil[w.program] = time.Now().Add(stoppedTTL)
	l.refuse(w)
	l.log.Info("Program stopped, its budget is spent.", "program", w.program, "budget", w.budget,
		"claimed", l.book.Claimed(w.program), "offset", l.applied)
}

// refuse answers a turn of a program that was stopped.
func (l *ledger) refuse(w *waiter) {
	w.done <- &gateway.BudgetSpentError{Program: w.program, Budget: w.budget, Spent: l.book.Claimed(w.program)}
}

// remember notes that another host has refused the program for good.
func (l *ledger) markStopped(program string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppedUntil[program] = time.Now().Add(stoppedTTL)
}

func (l *ledger) isStopped(program string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.stoppedUntil[program])
}
