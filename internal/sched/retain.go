package sched

import (
	"context"
	"time"

	"yuccausher/internal/core/retention"
	"yuccausher/internal/port"
)

// evictTimeout bounds one eviction request to a target.
const evictTimeout = time.Second

// ProgramIdle implements port.Scheduler. The retention of the program's cache is decided in the
// background, repeatedly while the pause lasts.
func (s *Scheduler) ProgramIdle(work port.Work) {
	if work.Kind != port.KindModel {
		return
	}
	s.pauses.begin(work, time.Now())
}

// ProgramEnded implements port.Scheduler. It drops the host's state of the program. The caches at
// the targets are evicted by the owner, which has the list of holders in the log.
func (s *Scheduler) ProgramEnded(programID string, _ []string) {
	s.pauses.forget(programID)
	s.cacheLocations.forget(programID)
	s.lifetimes.end(programID, time.Now())
}

// applyRetention decides for each pausing program whether its targets keep its cache,
// and sends evictions.
func (s *Scheduler) applyRetention(ctx context.Context, now time.Time) {
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
			s.applyRetentionAt(ctx, k.work, p.targetOf(h.Target), int64(h.Tokens), c)
		}
	}
}

func (p *pool) prefillRate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.PrefillRate()
}

func (s *Scheduler) applyRetentionAt(ctx context.Context, work port.Work, t *target, tokens int64, c retention.Cache) {
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
	s.metrics.retentionDecided(action)
	if action == retention.Keep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	if err := s.params.Engine.Evict(ctx, t.port(), work.ProgramID); err != nil {
		s.log.Info("Eviction failed.", "target", t.route.Name, "error", err.Error())
		return
	}
	s.cacheLocations.set(work.ProgramID, t.route, 0, time.Now())
}
