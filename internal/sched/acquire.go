package sched

import (
	"context"
	"time"

	"yuccausher/internal/core/admission"
	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// maxPatience bounds how long a call waits for a target that has its prefix
// while others have room.
const maxPatience = 5 * time.Second

// hopeless is the share of the mean time of its kind that a call or a program
// needs at least; with less time left it is refused.
const hopeless = 0.5

// waiter is a call in Acquire.
type waiter struct {
	work        port.Work
	item        *admission.Item
	cacheFactor float64
	footprint   float64
	// patientTill is set when the call is first held for its prefix.
	patientTill time.Time
	// ready is closed once grant or refusal is set.
	ready   chan struct{}
	grant   *grant
	refusal *fault.Fault
}

// Acquire implements port.Scheduler.
func (s *Scheduler) Acquire(ctx context.Context, work port.Work) (port.Grant, error) {
	g, refusal := s.acquire(ctx, work)
	if refusal != nil {
		s.metrics.refused(refusal.Type)
		return nil, refusal.WithRequest(work.RequestID)
	}
	return g, nil
}

func (s *Scheduler) acquire(ctx context.Context, work port.Work) (*grant, *fault.Fault) {
	if s.poison.isQuarantined(work.Fingerprint) {
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
	s.lives.begin(work, time.Now())
	w := s.newWaiter(work, snapshot)
	if refusal := p.enter(w, time.Now()); refusal != nil {
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
	life, footprint := s.lives.usual(work.Agent)
	i.Lifetime = life
	w := &waiter{work: work, item: i, ready: make(chan struct{})}
	w.footprint = max(float64(footprint), float64(work.PromptTokens))
	w.cacheFactor = cacheFactor(snapshot.Agent(work.Agent))
	i.Value = w
	return w
}

// cacheFactor weighs the cost of a prefill: one for an agent that minds
// latency alone, up to three for one that minds wasted cache alone.
func cacheFactor(a *config.Agent) float64 {
	if a == nil || a.CacheWeight <= 0 {
		return 1
	}
	return 1 + 2*a.CacheWeight/(a.CacheWeight+max(a.LatencyWeight, 0))
}

// enter puts a call into the queue, or refuses it at once.
func (p *pool) enter(w *waiter, now time.Time) *fault.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.subset) == 0 {
		return p.refusal(fault.NoTarget, time.Second, "no target of %s %s is in service", p.key.kind, p.key.name)
	}
	i := w.item
	i.Entitled = p.entitled(i, now)
	i.ServiceTime = time.Duration(p.speeds.ServiceTime() * float64(time.Second))
	wait := p.expectedWait(i, now)
	if !i.Deadline.IsZero() && now.Add(wait+p.leastTime(w)).After(i.Deadline) {
		return p.refusal(fault.DeadlineUnmeetable, wait, "expected wait of %v is past the deadline", wait)
	}
	if i.IsDeferred() && wait > maxNewWait {
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

// leastTime is the least time that a call, and for a new program the program,
// is taken to need.
func (p *pool) leastTime(w *waiter) time.Duration {
	if !w.item.IsDeferred() {
		return p.leastService()
	}
	return max(p.leastService(), time.Duration(hopeless*float64(w.item.Lifetime)))
}

// leastService is the least time that a call is taken to need at a target.
func (p *pool) leastService() time.Duration {
	return time.Duration(hopeless * p.speeds.ServiceTime() * float64(time.Second))
}

// patience is how long a call may wait for its prefix: the time in which the
// prefix could be built again.
func (p *pool) patience(w *waiter) time.Duration {
	if !p.isModel() {
		return 0
	}
	seconds := w.cacheFactor * float64(w.work.PromptTokens) / p.speeds.PrefillRate()
	return min(time.Duration(seconds*float64(time.Second)), maxPatience)
}

func (p *pool) isModel() bool { return p.key.kind == port.KindModel }

// wait returns the grant of a queued call, or its refusal.
func (p *pool) wait(ctx context.Context, w *waiter) (*grant, *fault.Fault) {
	select {
	case <-w.ready:
		return w.grant, w.refusal
	default:
	}
	var late <-chan time.Time
	if d := w.item.Deadline; !d.IsZero() {
		timer := time.NewTimer(time.Until(d) - p.leastServiceLocked())
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-w.ready:
		return w.grant, w.refusal
	case <-late:
		return p.leave(w, fault.DeadlineUnmeetable, "the deadline can no longer be met")
	case <-ctx.Done():
		return p.leave(w, fault.Timeout, "the call ended while it waited for a target")
	}
}

func (p *pool) leastServiceLocked() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leastService()
}

// leave takes a call out of the queue. A grant that came meanwhile stands if
// the call can still use it.
func (p *pool) leave(w *waiter, t fault.Type, message string) (*grant, *fault.Fault) {
	p.mu.Lock()
	if p.queue.Remove(w.item) {
		defer p.mu.Unlock()
		wait := p.expectedWait(w.item, time.Now())
		return nil, p.refusal(t, wait, "%s", message)
	}
	p.mu.Unlock()
	<-w.ready
	if w.grant != nil && t == fault.Timeout {
		w.grant.unused()
		return nil, fault.New(t, fault.NotRun, "%s", message)
	}
	return w.grant, w.refusal
}

// refusal returns a fault that says when to come back: the expected wait,
// jittered so that callers do not come back together.
func (p *pool) refusal(t fault.Type, wait time.Duration, format string, args ...any) *fault.Fault {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after = p.s.random.jitter(after, retryJitter)
	return fault.New(t, fault.NotRun, format, args...).WithRetryAfter(after)
}

// retryJitter is the fraction by which the advice to come back varies.
const retryJitter = 0.5

func poisonedFault() *fault.Fault {
	return fault.New(fault.Poisoned, fault.NotRun, "the content has crashed the targets that ran it")
}
