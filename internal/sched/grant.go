package sched

import (
	"sync/atomic"
	"time"

	"yuccausher/internal/core/admission"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// grant implements port.Grant.
type grant struct {
	pool     *pool
	target   *target
	work     port.Work
	believed float64
	expected time.Duration
	priority int
	slot     routing.Slot
	at       time.Time
	// running is the own load at the target when the call was granted.
	running int
	planned time.Duration
	over    atomic.Bool
}

func newGrant(p *pool, w *waiter, c routing.Choice, slot routing.Slot, now time.Time) *grant {
	uncached := w.work.PromptTokens - int64(c.Cached)
	g := &grant{
		pool:     p,
		target:   p.byRoute[c.Target],
		work:     w.work,
		believed: c.Cached,
		expected: p.speeds.FirstTokenTime(max(uncached, 0)),
		priority: p.priority(w, now),
		slot:     slot,
		at:       now,
		running:  c.Target.Running(),
		planned:  w.item.ServiceTime,
	}
	if p.isModel() {
		p.s.beliefs.set(w.work.ProgramID, c.Target, w.work.PromptTokens, now)
	}
	return g
}

// priorityUnit is one step of the priority inside an engine.
const priorityUnit = 100 * time.Millisecond

// overShare is by how much calls of organisations beyond their share go later
// inside an engine.
const overShare = 10 * time.Second

// priority orders calls inside an engine by the time of the grant and the
// penalties of admission, so that calls of all hosts stand in one order and
// age at the same rate.
func (p *pool) priority(w *waiter, now time.Time) int {
	if p.s.params.Variant.FirstCome {
		return 0
	}
	due := now.Add(admission.Penalty(w.item))
	if !w.item.Entitled {
		due = due.Add(overShare)
	}
	return int(due.UnixMilli() / priorityUnit.Milliseconds())
}

// Target implements port.Grant.
func (g *grant) Target() port.Target { return g.target.port() }

// Priority implements port.Grant.
func (g *grant) Priority() int { return g.priority }

// Done implements port.Grant.
func (g *grant) Done(r port.Result) {
	if r.Inconclusive {
		g.unused()
		return
	}
	if g.over.Swap(true) {
		return
	}
	now := time.Now()
	s := g.pool.s
	whole := r.Err == nil
	changed := g.observeTarget(r, now)
	if g.isCrash(r) {
		s.poison.crash(poison.Mark{Fingerprint: g.work.Fingerprint, Target: g.target.route.Name, At: now.UnixNano()})
	}
	s.poison.end(g.work.Fingerprint, g.target.route.Name, whole)
	g.target.route.End(now, g.slot)
	g.observeCache(r, now)
	g.pool.finish(g, r, now)
	if changed {
		s.refreshPools(now)
	}
}

// unused gives the slot back without a dispatch.
func (g *grant) unused() {
	if g.over.Swap(true) {
		return
	}
	now := time.Now()
	s := g.pool.s
	s.poison.end(g.work.Fingerprint, g.target.route.Name, false)
	g.target.route.End(now, g.slot)
	g.pool.release(g, now)
}

// observeTarget updates the limit and the health of the target, and returns
// true if its state changed.
func (g *grant) observeTarget(r port.Result, now time.Time) bool {
	s, t := g.pool.s, g.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Err == nil {
		t.health.Answered()
		g.observeLatency(r, now)
	} else {
		observeFailure(t, r.Err.Failure, now)
		s.metrics.failed(r.Err.Failure)
	}
	s.publishLimit(t)
	return s.publishState(t, now)
}

func (g *grant) observeLatency(r port.Result, now time.Time) {
	if !g.pool.isModel() {
		g.target.limiter.Observe(now, 0, 0, g.running)
		return
	}
	uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
	expected := g.expected
	if r.Usage.PromptTokens > 0 {
		expected = g.pool.firstToken(uncached)
	}
	g.target.limiter.Observe(now, r.FirstToken, expected, g.running)
}

// isCrash says whether the target may have crashed on the call. An engine's
// stream breaks off when it does; a service may just have lost the answer.
func (g *grant) isCrash(r port.Result) bool {
	if r.Err == nil || r.Err.Failure != port.FailureBroken {
		return false
	}
	return g.pool.isModel() || r.Down
}

func observeFailure(t *target, f port.Failure, now time.Time) {
	switch f {
	case port.FailureBusy:
		t.limiter.Busy(now)
	case port.FailureDraining:
		t.health.Draining(now)
	case port.FailureRefused:
		t.health.DialRefused(now)
	case port.FailureBroken:
		t.health.ConnectionBroken()
	case port.FailureTimeout:
		t.health.ConnectionBroken()
		t.limiter.Busy(now)
	}
}

// observeCache corrects what is believed of the target's cache.
func (g *grant) observeCache(r port.Result, now time.Time) {
	if !g.pool.isModel() {
		return
	}
	beliefs := g.pool.s.beliefs
	if r.Err != nil {
		beliefs.set(g.work.ProgramID, g.target.route, 0, now)
		return
	}
	g.target.route.ObserveCache(g.believed, float64(r.Usage.CachedTokens))
	held := r.Usage.PromptTokens + r.Usage.OutputTokens
	beliefs.set(g.work.ProgramID, g.target.route, held, now)
	g.pool.s.lives.served(g.work.ProgramID, held)
}

// finish learns from a call and grants the freed slot.
func (p *pool) finish(g *grant, r port.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt()
	p.shares.End(now, g.work.Organisation, g.service(r))
	if r.Err == nil {
		uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
		p.memory.Observe(g.believed, float64(r.Usage.CachedTokens))
		p.speeds.Observe(uncached, r.FirstToken, r.Total)
		p.queue.Charge(g.work.Organisation, r.Total-g.planned)
	}
	p.dispatch(now)
}

// release gives back the slot of a call that was not dispatched.
func (p *pool) release(g *grant, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.End(now, g.work.Organisation, 0)
	p.dispatch(now)
}

// service returns the target's time for a call, less the wait at the target.
func (g *grant) service(r port.Result) time.Duration {
	if r.Err != nil || !g.pool.isModel() {
		return r.Total
	}
	uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
	return r.Total - r.FirstToken + g.pool.speeds.FirstTokenTime(uncached)
}

func (p *pool) firstToken(uncached int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.FirstTokenTime(uncached)
}

// publishState makes the state that follows from the signs the one that
// decisions read, and returns true if it changed. The caller holds the
// target's lock.
func (s *Scheduler) publishState(t *target, now time.Time) bool {
	state := t.health.State(now)
	old := t.route.SetState(state)
	if old == state {
		return false
	}
	s.log.Info("Target changed its state.", "target", t.route.Name, "from", old.String(), "to", state.String())
	return true
}
