package spending

import (
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
)

// pending is a claim on its way with the turns that wait for it.
type pending struct {
	claim budget.Claim
	slice *slice
	wants []*want
}

// collect makes the next claims.
func (l *ledger) collect() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	byProgram := make(map[string]*pending)
	var batch []*pending
	var rest []*want
	now := time.Now()
	for _, w := range l.queue {
		if w.abandoned {
			continue
		}
		if now.Before(l.stopped[w.program]) {
			l.refuse(w)
			continue
		}
		p := byProgram[w.program]
		s := l.sliceOf(w.program, w.budget)
		isApart := p != nil && (w.alone || p.wants[0].alone)
		if isApart || p == nil && s.isClaiming || len(batch) >= maxBatch {
			rest = append(rest, w)
			continue
		}
		if p == nil {
			p = &pending{slice: s}
			byProgram[w.program] = p
			batch = append(batch, p)
		}
		p.wants = append(p.wants, w)
	}
	l.queue = rest
	for _, p := range batch {
		l.claim(p)
	}
	for program, s := range l.releases {
		if s.isClaiming || len(batch) >= maxBatch {
			continue
		}
		delete(l.releases, program)
		if byProgram[program] == nil {
			p := &pending{slice: s}
			l.claim(p)
			batch = append(batch, p)
		}
	}
	return batch
}

// claim fills in what a pending claim asks for.
func (l *ledger) claim(p *pending) {
	s := p.slice
	var most int64
	for _, w := range p.wants {
		most += w.most
		s.most = max(s.most, w.most)
	}
	total := s.Needed(most)
	isSettled := false
	switch {
	case len(p.wants) == 0 && total > s.Confirmed:
		isSettled = true
	case len(p.wants) == 0:
		// From now on the part that is given back must not be spent, whether
		// or not the claim arrives.
		s.Confirmed = total
	case !p.wants[0].alone:
		total = s.ClaimTotal(most, s.budget, l.book.Claimed(s.program), l.isSlow() || l.isHome())
	}
	total = max(total, s.Confirmed)
	s.wanted += len(p.wants)
	s.isClaiming = true
	l.sequence++
	s.Sequence = l.sequence
	p.claim = budget.Claim{Writer: l.writer, Sequence: l.sequence, Program: s.program, Budget: s.budget, Total: total, Settled: isSettled}
}

// requeue puts the turns back whose claims failed.
func (l *ledger) requeue(batch []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range batch {
		s := p.slice
		s.wanted -= len(p.wants)
		s.isClaiming = false
		isWanted := false
		for _, w := range p.wants {
			if !w.abandoned {
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
func (l *ledger) decide(batch []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, p := range batch {
		verdict := l.verdicts[p.claim.Sequence]
		delete(l.verdicts, p.claim.Sequence)
		s := p.slice
		s.wanted -= len(p.wants)
		s.isClaiming = false
		s.usedAt = now
		for _, w := range p.wants {
			l.answer(w, s, verdict)
		}
		if len(p.wants) > 0 {
			l.metrics.claims(verdict)
			l.announce(s)
			l.log.Info("Claimed.", "program", s.program, "verdict", verdict.String(), "budget", s.budget,
				"claimed", l.book.Claimed(s.program), "total", p.claim.Total, "offset", l.applied)
		}
	}
}

// answer grants a turn, asks for it alone after a larger claim was refused, or
// refuses it for good.
func (l *ledger) answer(w *want, s *slice, verdict budget.Verdict) {
	switch {
	case w.abandoned:
	case verdict == budget.Accepted && s.Begin(w.most):
		w.reservation = &reservation{ledger: l, slice: s, most: w.most}
		w.done <- nil
	case verdict == budget.Refused && l.exceeds(w, s) && w.settled:
		l.stop(w)
	case verdict == budget.Refused && l.exceeds(w, s):
		w.settled, w.alone = true, true
		time.AfterFunc(settleTime, func() { l.again(w) })
	default:
		w.alone = true
		l.queue = append(l.queue, w)
	}
}

// exceeds says whether the turn alone does not fit the budget, by the book.
func (l *ledger) exceeds(w *want, s *slice) bool {
	return l.book.Claimed(w.program)+s.Needed(w.most)-s.Confirmed > w.budget
}

// again asks for a claim once more.
func (l *ledger) again(w *want) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, w)
	l.wake()
}

// stop refuses a turn for good, and those of its program that follow.
func (l *ledger) stop(w *want) {
	l.stopped[w.program] = time.Now().Add(stoppedFor)
	l.refuse(w)
	l.log.Info("Program stopped, its budget is spent.", "program", w.program, "budget", w.budget,
		"claimed", l.book.Claimed(w.program), "offset", l.applied)
}

// refuse answers a turn of a program that was stopped.
func (l *ledger) refuse(w *want) {
	w.done <- &gateway.BudgetSpentError{Program: w.program, Budget: w.budget, Spent: l.book.Claimed(w.program)}
}

// remember notes that another host has refused the program for good.
func (l *ledger) remember(program string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped[program] = time.Now().Add(stoppedFor)
}

func (l *ledger) isStopped(program string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.stopped[program])
}
