package sched

import (
	"sync/atomic"
	"time"

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
	suspect  bool
	at       time.Time
	// running is the own load at the target when the call was granted.
	running int
	service time.Duration
	over    atomic.Bool
}

func newGrant(p *pool, w *waiter, c routing.Choice, suspect bool, now time.Time) *grant {
	uncached := w.work.PromptTokens - int64(c.Cached)
	g := &grant{
		pool:     p,
		target:   p.byRoute[c.Target],
		work:     w.work,
		believed: c.Cached,
		expected: p.speeds.FirstToken(max(uncached, 0)),
		priority: priority(w),
		suspect:  suspect,
		at:       now,
		running:  c.Target.Running(),
		service:  w.item.Service,
	}
	if p.isModel() {
		p.s.beliefs.set(w.work.ProgramID, c.Target, w.work.PromptTokens, now)
	}
	return g
}

// priority orders calls inside an engine: by class, then programs under way
// before new ones.
func priority(w *waiter) int {
	p := 2 * w.item.Class
	if !w.item.UnderWay {
		p++
	}
	return p
}

// Target implements port.Grant.
func (g *grant) Target() port.Target { return g.target.port() }

// Priority implements port.Grant.
func (g *grant) Priority() int { return g.priority }

// Done implements port.Grant.
func (g *grant) Done(r port.Result) {
	if r.Unused {
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
	crashed := !whole && r.Err.Failure == port.FailureBroken
	if crashed {
		s.poison.crash(poison.Mark{Fingerprint: g.work.Fingerprint, Target: g.target.route.Name, At: now.UnixNano()})
	}
	s.poison.end(g.work.Fingerprint, g.target.route.Name, whole)
	g.target.route.End(now, g.suspect)
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
	g.target.route.End(now, g.suspect)
	g.pool.wake(now)
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

func observeFailure(t *target, f port.Failure, now time.Time) {
	switch f {
	case port.FailureBusy:
		t.limiter.Busy(now)
	case port.FailureDraining:
		t.health.Draining(now)
	case port.FailureRefused:
		t.health.Refused(now)
	case port.FailureBroken:
		t.health.Broken()
	case port.FailureTimeout:
		t.health.Broken()
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
}

// finish learns from a call and grants the freed slot.
func (p *pool) finish(g *grant, r port.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt()
	if r.Err == nil {
		uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
		p.speeds.Observe(uncached, r.FirstToken, r.Total)
		p.queue.Charge(g.work.Firm, r.Total-g.service)
	}
	p.dispatch(now)
}

func (p *pool) firstToken(uncached int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.FirstToken(uncached)
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
