package spending

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// awayAfter is when a store that has not answered a call counts as away.
	awayAfter = patience
	// maxBatch is how many claims are appended at a time.
	maxBatch = 256
)

// errAway says that calls to the store have failed for some time.
var errAway = errors.New("shared log is away")

// errSlow says that a claim was not decided in time.
var errSlow = errors.New("shared log is slow")

// want is a turn that waits for a claim.
type want struct {
	program string
	budget  int64
	most    int64
	// alone asks for a claim that covers this turn and nothing else.
	alone bool
	// settled says that the turn has waited for other hosts' slices.
	settled     bool
	reservation *reservation
	done        chan error
	abandoned   bool
}

// ledger is the host's view of one partition of the claims, and its writer.
type ledger struct {
	shared    port.SharedLog
	partition port.Partition
	writer    uint64
	log       logr.Logger
	metrics   *metrics
	wakeUp    chan struct{}

	mu       sync.Mutex
	book     *budget.Book
	slices   map[string]*slice
	releases map[string]*slice
	// stopped holds the programs whose budget is spent, and until when they
	// are refused without another look.
	stopped map[string]time.Time
	queue   []*want
	// applied is the offset up to which the book holds the log.
	applied  int64
	sequence uint64
	// failingSince is when the first of the latest calls failed; zero after a
	// success.
	failingSince time.Time
	// callingSince is when the call under way began; zero between calls.
	callingSince time.Time
	verdicts     map[uint64]budget.Verdict
}

func newLedger(shared port.SharedLog, p port.Partition, writer uint64, log logr.Logger, m *metrics) *ledger {
	return &ledger{
		shared:    shared,
		partition: p,
		writer:    writer,
		log:       log,
		metrics:   m,
		wakeUp:    make(chan struct{}, 1),
		book:      budget.NewBook(),
		slices:    make(map[string]*slice),
		releases:  make(map[string]*slice),
		stopped:   make(map[string]time.Time),
		verdicts:  make(map[uint64]budget.Verdict),
	}
}

func (l *ledger) wake() {
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// enqueue asks for a claim. It fails at once while the store is away.
func (l *ledger) enqueue(w *want) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, w)
	l.wake()
	if l.isAwayLocked(time.Now()) {
		w.abandoned = true
		return errAway
	}
	return nil
}

func (l *ledger) abandon(w *want) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.abandoned = true
	if w.reservation != nil {
		// The claim was decided as the caller gave up.
		w.reservation.slice.End(w.most, 0)
	}
}

func (l *ledger) isAway(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isAwayLocked(now)
}

func (l *ledger) isAwayLocked(now time.Time) bool {
	if !l.callingSince.IsZero() && now.Sub(l.callingSince) > awayAfter {
		return true
	}
	return !l.failingSince.IsZero()
}

// run writes claims until ctx ends.
func (l *ledger) run(ctx context.Context) {
	pause := firstRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeUp:
		}
		for l.hasWork() && ctx.Err() == nil {
			l.calling(time.Now())
			err := l.round(ctx)
			l.calling(time.Time{})
			l.observe(err)
			if err == nil {
				pause = firstRetry
				continue
			}
			sleep(ctx, pause)
			pause = min(2*pause, maxRetry)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (l *ledger) calling(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callingSince = since
}

// observe notes whether the store is away.
func (l *ledger) observe(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && !l.failingSince.IsZero():
		l.log.Info("Shared log answers again.", "partition", l.partition.Part, "away", time.Since(l.failingSince).String())
		l.failingSince = time.Time{}
		l.settleLoans()
	case err != nil && l.failingSince.IsZero():
		l.log.Info("Shared log fails.", "partition", l.partition.Part, "cause", err.Error())
		l.failingSince = time.Now()
	}
	if err != nil {
		l.metrics.failures.Inc(1)
	}
}

// hasWork drops wants that were abandoned, but keeps one while the store is
// away, so that its return is noticed.
func (l *ledger) hasWork() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0 || len(l.releases) > 0 || !l.failingSince.IsZero()
}

// round appends the claims that are wanted, reads the log up to them and
// decides.
func (l *ledger) round(ctx context.Context) error {
	batch := l.collect()
	if len(batch) == 0 {
		return l.catchUp(ctx, 0)
	}
	started := time.Now()
	err := l.write(ctx, batch)
	l.metrics.claim.RecordDuration(time.Since(started))
	if err != nil {
		l.requeue(batch)
		return err
	}
	l.decide(batch)
	return nil
}

// write appends a batch and brings the book up to its end.
func (l *ledger) write(ctx context.Context, batch []*pending) error {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		data, err := encode(p.claim)
		if err != nil {
			return err
		}
		records[i] = data
	}
	offset, err := l.shared.Append(ctx, l.partition, records)
	if err != nil {
		return err
	}
	return l.settleAt(ctx, offset, batch)
}

// settleAt brings the book up to the end of a batch that starts at offset.
func (l *ledger) settleAt(ctx context.Context, offset int64, batch []*pending) error {
	l.mu.Lock()
	isNext := offset == l.applied
	if isNext {
		for _, p := range batch {
			l.apply(p.claim)
		}
	}
	l.mu.Unlock()
	if isNext || isReleaseOnly(batch) {
		return nil
	}
	return l.catchUp(ctx, offset+int64(len(batch)))
}

// isReleaseOnly says whether no turn waits for the verdicts on a batch.
func isReleaseOnly(batch []*pending) bool {
	return !slices.ContainsFunc(batch, func(p *pending) bool { return len(p.wants) > 0 })
}

// catchUp reads the log up to an offset, once at least.
func (l *ledger) catchUp(ctx context.Context, to int64) error {
	for {
		l.mu.Lock()
		from := l.applied
		l.mu.Unlock()
		page, err := l.shared.Read(ctx, l.partition, from, 0)
		var failed *port.SharedLogError
		if errors.As(err, &failed) && failed.Failure == port.LogTrimmed {
			l.mu.Lock()
			l.applied = failed.Oldest
			l.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		l.mu.Lock()
		for _, data := range page.Records {
			claim, err := decode(data)
			if err != nil {
				l.metrics.invalid.Inc(1)
				l.log.Info("A claim can't be read and is passed over.", "partition", l.partition.Part, "offset", l.applied, "cause", err.Error())
				l.applied++
				continue
			}
			l.apply(claim)
		}
		done := l.applied >= min(to, page.End)
		l.mu.Unlock()
		if done {
			return nil
		}
	}
}

// apply takes the claim at the applied offset.
func (l *ledger) apply(c budget.Claim) {
	verdict := l.book.Apply(c, time.Now())
	if c.Writer == l.writer {
		l.verdicts[c.Sequence] = verdict
		if s := l.slices[c.Program]; s != nil {
			s.Confirmed = l.book.Held(c.Program, l.writer)
		}
	}
	l.applied++
}

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
	for _, w := range l.queue {
		if w.abandoned {
			continue
		}
		p := byProgram[w.program]
		if p != nil && (w.alone || p.wants[0].alone) || len(batch) >= maxBatch {
			rest = append(rest, w)
			continue
		}
		if p == nil {
			p = &pending{slice: l.sliceOf(w.program, w.budget)}
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
		delete(l.releases, program)
		if byProgram[program] == nil && len(batch) < maxBatch {
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
		total = s.Ahead(most, s.budget, l.book.Claimed(s.program))
	}
	total = max(total, s.Confirmed)
	s.wanted += len(p.wants)
	l.sequence++
	p.claim = budget.Claim{Writer: l.writer, Sequence: l.sequence, Program: s.program, Budget: s.budget, Total: total, Settled: isSettled}
}

// requeue puts the turns back whose claims failed.
func (l *ledger) requeue(batch []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range batch {
		p.slice.wanted -= len(p.wants)
		if len(p.wants) == 0 {
			l.releases[p.slice.program] = p.slice
		}
		for _, w := range p.wants {
			if !w.abandoned {
				l.queue = append(l.queue, w)
			}
		}
	}
	clear(l.verdicts)
}

// decide answers the turns of claims that were read back.
func (l *ledger) decide(batch []*pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, p := range batch {
		verdict := l.verdicts[p.claim.Sequence]
		s := p.slice
		s.wanted -= len(p.wants)
		s.usedAt = now
		for _, w := range p.wants {
			l.answer(w, s, verdict)
		}
		if len(p.wants) > 0 {
			l.metrics.claims(verdict)
			l.log.Info("Claimed.", "program", s.program, "verdict", verdict.String(), "budget", s.budget,
				"claimed", l.book.Claimed(s.program), "total", p.claim.Total, "offset", l.applied)
		}
	}
	clear(l.verdicts)
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
	w.done <- &gateway.BudgetSpentError{Program: w.program, Budget: w.budget, Spent: l.book.Claimed(w.program)}
	l.log.Info("Program stopped, its budget is spent.", "program", w.program, "budget", w.budget,
		"claimed", l.book.Claimed(w.program), "offset", l.applied)
}

func (l *ledger) isStopped(program string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.stopped[program])
}
