package sched

import (
	"sync/atomic"
	"time"

	"yuccausher/internal/core/admission"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// grant implements port.Grant. expectedCached is the number of prompt tokens that the
// target was expected to hold, expectedFirstToken the expected time to the first token
// and expectedService the expected duration at the target.
type grant struct {
	pool               *pool
	target             *target
	work               port.Work
	expectedCached     float64
	expectedFirstToken time.Duration
	priority           int
	slot               routing.Slot
	grantedAt          time.Time
	// runningAtGrant is the number of this host's calls at the target when the call was
	// granted.
	runningAtGrant  int
	expectedService time.Duration
	done            atomic.Bool
}

func newGrant(p *pool, w *waiter, c routing.Choice, slot routing.Slot, now time.Time) *grant {
	uncached := w.work.PromptTokens - int64(c.Cached)
	g := &grant{
		pool:               p,
		target:             p.targetsByRoute[c.Target],
		work:               w.work,
		expectedCached:     c.Cached,
		expectedFirstToken: p.speeds.FirstTokenTime(max(uncached, 0)),
		priority:           p.priority(w, now),
		slot:               slot,
		grantedAt:          now,
		runningAtGrant:     c.Target.Running(),
		expectedService:    w.item.ServiceTime,
	}
	if p.isModel() {
		p.scheduler.cacheLocations.set(w.work.ProgramID, c.Target, w.work.PromptTokens, now)
	}
	return g
}

// priorityUnit is the time that one priority level of an engine stands for.
const priorityUnit = 100 * time.Millisecond

// overSharePenalty is added to the due time inside an engine for calls of organisations
// that use their share or more.
const overSharePenalty = 10 * time.Second

// priority returns the priority inside an engine: the time of the grant plus the
// penalties of admission. Absolute time puts the calls of all hosts in one order and
// lets them age at the same rate.
func (p *pool) priority(w *waiter, now time.Time) int {
	if p.scheduler.params.Variant.FirstCome {
		return 0
	}
	due := now.Add(admission.Penalty(w.item))
	if !w.item.Entitled {
		due = due.Add(overSharePenalty)
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
		g.releaseUnused()
		return
	}
	if g.done.Swap(true) {
		return
	}
	now := time.Now()
	s := g.pool.scheduler
	complete := r.Err == nil
	changed := g.observeTarget(r, now)
	if g.isCrash(r) {
		s.quarantine.recordCrash(poison.Mark{Fingerprint: g.work.Fingerprint, Target: g.target.route.Name, At: now.UnixNano()})
	}
	s.quarantine.end(g.work.Fingerprint, g.target.route.Name, complete)
	g.target.route.End(now, g.slot)
	g.observeCache(r, now)
	g.pool.finish(g, r, now)
	if changed {
		s.refreshPools(now)
	}
}

// releaseUnused releases the slot of a call that was not dispatched, or whose result
// says nothing about the target.
func (g *grant) releaseUnused() {
	if g.done.Swap(true) {
		return
	}
	now := time.Now()
	s := g.pool.scheduler
	s.quarantine.end(g.work.Fingerprint, g.target.route.Name, false)
	g.target.route.End(now, g.slot)
	g.pool.release(g, now)
}

// observeTarget updates the limit and the health of the target from a result. It
// returns true if the target's state changed.
func (g *grant) observeTarget(r port.Result, now time.Time) bool {
	s, t := g.pool.scheduler, g.target
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
		g.target.limiter.Observe(now, 0, 0, g.runningAtGrant)
		return
	}
	uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
	expected := g.expectedFirstToken
	if r.Usage.PromptTokens > 0 {
		expected = g.pool.firstTokenTime(uncached)
	}
	g.target.limiter.Observe(now, r.FirstToken, expected, g.runningAtGrant)
}

// isCrash reports whether the target may have crashed on the call. A broken stream of
// an engine counts as a crash. A service may have lost only the answer, so it must also
// be down.
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

// observeCache updates the cache location of the program at the target.
func (g *grant) observeCache(r port.Result, now time.Time) {
	if !g.pool.isModel() {
		return
	}
	locations := g.pool.scheduler.cacheLocations
	if r.Err != nil {
		locations.set(g.work.ProgramID, g.target.route, 0, now)
		return
	}
	g.target.route.ObserveCache(g.expectedCached, float64(r.Usage.CachedTokens))
	held := r.Usage.PromptTokens + r.Usage.OutputTokens
	locations.set(g.work.ProgramID, g.target.route, held, now)
	g.pool.scheduler.lifetimes.recordTokens(g.work.ProgramID, held)
}

// finish updates the pool's estimates from the result of a call and dispatches into the
// freed slot.
func (p *pool) finish(g *grant, r port.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt()
	p.shares.End(now, g.work.Organisation, g.serviceTime(r))
	if r.Err == nil {
		uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
		p.memoryReserve.Observe(g.expectedCached, float64(r.Usage.CachedTokens))
		p.speeds.Observe(uncached, r.FirstToken, r.Total)
		p.queue.Charge(g.work.Organisation, r.Total-g.expectedService)
	}
	p.dispatch(now)
}

// release updates the pool for a call without a usable result and dispatches into the
// freed slot.
func (p *pool) release(g *grant, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.End(now, g.work.Organisation, 0)
	p.dispatch(now)
}

// serviceTime returns the duration of a call at the target without the time in the
// target's queue.
func (g *grant) serviceTime(r port.Result) time.Duration {
	if r.Err != nil || !g.pool.isModel() {
		return r.Total
	}
	uncached := r.Usage.PromptTokens - r.Usage.CachedTokens
	return r.Total - r.FirstToken + g.pool.speeds.FirstTokenTime(uncached)
}

func (p *pool) firstTokenTime(uncached int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.FirstTokenTime(uncached)
}

// publishState stores the state derived from the target's health where decisions read
// it. It returns true if the state changed. The caller holds the target's lock.
func (s *Scheduler) publishState(t *target, now time.Time) bool {
	state := t.health.State(now)
	old := t.route.SetState(state)
	if old == state {
		return false
	}
	s.log.Info("Target state changed.", "target", t.route.Name, "from", old.String(), "to", state.String())
	return true
}
