package sched

import (
	"context"
	"time"

	"yuccausher/internal/core/admission"
	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// maxPrefixWait bounds how long a call waits for a target that holds its prefix while
// other targets have free slots.
const maxPrefixWait = 5 * time.Second

// minTimeShare is the share of the mean duration that a call or a program is assumed
// to need at least. A call with less time left is refused.
const minTimeShare = 0.5

// waiter is a call that waits in Acquire.
type waiter struct {
	work        port.Work
	item        *admission.Item
	cacheFactor float64
	footprint   float64
	// prefixWaitEnd is when the call stops waiting for a target that holds its prefix;
	// zero before that wait starts.
	prefixWaitEnd time.Time
	// ready is closed after grant or refusal is set.
	ready   chan struct{}
	grant   *grant
	refusal *fault.Fault
}

// Acquire implements port.Scheduler. Its errors are of type *fault.Fault.
func (s *Scheduler) Acquire(ctx context.Context, work port.Work) (port.Grant, error) {
	g, refusal := s.acquire(ctx, work)
	if refusal != nil {
		s.metrics.refused(refusal.Type)
		return nil, refusal.WithRequest(work.RequestID)
	}
	return g, nil
}

func (s *Scheduler) acquire(ctx context.Context, work port.Work) (*grant, *fault.Fault) {
	if s.quarantine.isQuarantined(work.Fingerprint) {
		return nil, poisonedFault()
	}
	t, snapshot := s.current()
	if t == nil {
		return nil, fault.New(fault.NotReady, fault.NotRun, "no configuration is in force")
	}
	p := t.pools[poolKey{work.Kind, work.Name}]
	if p == nil {
		return nil, fault.New(fault.NoTarget, fault.NotRun, "the configuration has no %s %s", work.Kind, work.Name)
	}
	s.pauses.resume(work, time.Now())
	s.lifetimes.begin(work, time.Now())
	w := s.newWaiter(work, snapshot)
	if refusal := p.enqueue(w, time.Now()); refusal != nil {
		return nil, refusal
	}
	return p.wait(ctx, w)
}

func (s *Scheduler) newWaiter(work port.Work, snapshot *config.Snapshot) *waiter {
	i := &admission.Item{
		Organisation:   work.Organisation,
		ProgramStarted: work.Turns > 0 || work.ProgramID != work.RootID && work.RootID != "",
		AttainedTokens: work.AttainedTokens,
		Arrived:        work.Arrived,
		Deadline:       work.Deadline,
	}
	if i.Arrived.IsZero() {
		i.Arrived = time.Now()
	}
	if f := snapshot.Organisation(work.Organisation); f != nil {
		i.Weight = f.Weight
	}
	if c := snapshot.Class(work.Class); c != nil {
		i.Class = c.Priority
	}
	life, footprint := s.lifetimes.mean(work.Agent)
	i.Lifetime = life
	w := &waiter{work: work, item: i, ready: make(chan struct{})}
	w.footprint = max(float64(footprint), float64(work.PromptTokens))
	w.cacheFactor = cacheFactor(snapshot.Agent(work.Agent))
	i.Value = w
	return w
}

// cacheFactor returns the factor for the cost of a prefill: one for an agent with only
// a latency weight, up to three for one with only a cache weight.
func cacheFactor(a *config.Agent) float64 {
	if a == nil || a.CacheWeight <= 0 {
		return 1
	}
	return 1 + 2*a.CacheWeight/(a.CacheWeight+max(a.LatencyWeight, 0))
}

// enqueue adds a call to the queue and dispatches, or returns a refusal. A call that a
// full queue displaces is refused as overloaded.
func (p *pool) enqueue(w *waiter, now time.Time) *fault.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.subset) == 0 {
		return p.refusal(fault.NoTarget, time.Second, "no target of %s %s is in service", p.key.kind, p.key.name)
	}
	i := w.item
	i.Entitled = p.isEntitled(i, now)
	i.ServiceTime = time.Duration(p.speeds.ServiceTime() * float64(time.Second))
	wait := p.expectedWait(i, now)
	if !i.Deadline.IsZero() && now.Add(wait+p.minTime(w)).After(i.Deadline) {
		return p.refusal(fault.DeadlineUnmeetable, wait, "expected wait of %v is past the deadline", wait)
	}
	if i.IsDeferred() && wait > maxNewProgramWait {
		return p.refusal(fault.Overloaded, wait, "expected wait of %v is too long for a new program", wait)
	}
	if displaced := p.queue.Push(i); displaced != nil {
		out := displaced.Value.(*waiter)
		out.refusal = p.refusal(fault.Overloaded, wait, "the queue is full")
		close(out.ready)
	}
	p.dispatch(now)
	return nil
}

// minTime returns the minimum time that a call needs; for the first call of a new
// program, the minimum time that the program needs. The caller holds the lock.
func (p *pool) minTime(w *waiter) time.Duration {
	if !w.item.IsDeferred() {
		return p.minServiceTimeLocked()
	}
	return max(p.minServiceTimeLocked(), time.Duration(minTimeShare*float64(w.item.Lifetime)))
}

// minServiceTimeLocked returns the minimum time that a call needs at a target. The
// caller holds the lock.
func (p *pool) minServiceTimeLocked() time.Duration {
	return time.Duration(minTimeShare * p.speeds.ServiceTime() * float64(time.Second))
}

// prefixWait returns the maximum time that a call waits for a target that holds its
// prefix: the time that recomputing the prefix takes.
func (p *pool) prefixWait(w *waiter) time.Duration {
	if !p.isModel() {
		return 0
	}
	seconds := w.cacheFactor * float64(w.work.PromptTokens) / p.speeds.PrefillRate()
	return min(time.Duration(seconds*float64(time.Second)), maxPrefixWait)
}

func (p *pool) isModel() bool { return p.key.kind == port.KindModel }

// wait waits for the grant or the refusal of a queued call. It stops when the deadline
// can no longer be met or ctx ends.
func (p *pool) wait(ctx context.Context, w *waiter) (*grant, *fault.Fault) {
	select {
	case <-w.ready:
		return w.grant, w.refusal
	default:
	}
	var late <-chan time.Time
	if d := w.item.Deadline; !d.IsZero() {
		timer := time.NewTimer(time.Until(d) - p.minServiceTime())
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-w.ready:
		return w.grant, w.refusal
	case <-late:
		return p.abandon(w, fault.DeadlineUnmeetable, "the deadline can no longer be met")
	case <-ctx.Done():
		return p.abandon(w, fault.Timeout, "the call ended while it waited for a target")
	}
}

// minServiceTime takes the lock and returns minServiceTimeLocked.
func (p *pool) minServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minServiceTimeLocked()
}

// abandon removes a call from the queue. If the call was granted concurrently, the grant
// is returned unless the call has ended.
func (p *pool) abandon(w *waiter, t fault.Type, message string) (*grant, *fault.Fault) {
	p.mu.Lock()
	if p.queue.Remove(w.item) {
		defer p.mu.Unlock()
		wait := p.expectedWait(w.item, time.Now())
		return nil, p.refusal(t, wait, "%s", message)
	}
	p.mu.Unlock()
	<-w.ready
	if w.grant != nil && t == fault.Timeout {
		w.grant.releaseUnused()
		return nil, fault.New(t, fault.NotRun, "%s", message)
	}
	return w.grant, w.refusal
}

// refusal returns a fault whose Retry-After time is the expected wait, with jitter so
// that callers do not retry at the same time.
func (p *pool) refusal(t fault.Type, wait time.Duration, format string, args ...any) *fault.Fault {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after = p.scheduler.random.jitter(after, retryJitter)
	return fault.New(t, fault.NotRun, format, args...).WithRetryAfter(after)
}

// retryJitter is the fraction by which Retry-After times vary.
const retryJitter = 0.5

func poisonedFault() *fault.Fault {
	return fault.New(fault.Poisoned, fault.NotRun, "the content has crashed the targets that ran it")
}
