package sched

import (
	"context"
	"time"

	"yuccausher/internal/core/retention"
	"yuccausher/internal/port"
)

// orderTimeout bounds one order to a target.
const orderTimeout = time.Second

// Pause implements port.Scheduler. What becomes of the cache is decided in the
// background, again and again while the pause lasts.
func (s *Scheduler) ProgramIdle(work port.Work) {
	if work.Kind != port.KindModel {
		return
	}
	s.pauses.begin(work, time.Now())
}

// Gone implements port.Scheduler: the host forgets the program. The holders
// are evicted by the owner, which knows them from the log.
func (s *Scheduler) ProgramEnded(programID string, _ []string) {
	s.pauses.forget(programID)
	s.beliefs.forget(programID)
	s.lives.end(programID, time.Now())
}

// retain decides for each pausing program whether its targets keep its cache.
func (s *Scheduler) retain(ctx context.Context, now time.Time) {
	t, snapshot := s.current()
	if t == nil {
		return
	}
	for _, k := range s.pauses.list() {
		p := t.pools[poolKey{k.work.Kind, k.work.Name}]
		if p == nil {
			continue
		}
		c := retention.Cache{Pause: s.pauses.expected(k, now), PrefillRate: p.prefillRate()}
		if a := snapshot.Agent(k.work.Agent); a != nil {
			c.LatencyWeight, c.CacheWeight = a.LatencyWeight, a.CacheWeight
		}
		for _, h := range p.holdersOf(k.work, now) {
			s.retainAt(ctx, k.work, p.target(h.Target), int64(h.Tokens), c)
		}
	}
}

func (p *pool) prefillRate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.PrefillRate()
}

func (s *Scheduler) retainAt(ctx context.Context, work port.Work, t *target, tokens int64, c retention.Cache) {
	if t == nil {
		return
	}
	report := t.report.Load()
	if report == nil {
		return
	}
	c.Tokens = tokens
	c.UsedTokens = report.KVTokens
	c.CapacityTokens = report.KVCapacity
	action := retention.Decide(c)
	s.metrics.kept(action)
	if action == retention.Keep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := s.params.Engine.Evict(ctx, t.port(), work.ProgramID); err != nil {
		s.log.Info("Eviction failed.", "target", t.route.Name, "error", err.Error())
		return
	}
	s.beliefs.set(work.ProgramID, t.route, 0, time.Now())
}
