package sched

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

const (
	// tick is how often due polls are looked for.
	tick = 100 * time.Millisecond
	// pollInterval is the time between two reports of one target that this
	// host uses, idlePollInterval of one that it does not use at present.
	pollInterval     = time.Second
	idlePollInterval = 4 * time.Second
	// activeFor is how long a target counts as used after a call.
	activeFor = 2 * time.Second
	// pollsPerSecond bounds the polls of one host; with more targets the
	// interval grows.
	pollsPerSecond = 8
	// pollJitter is the fraction by which the interval varies.
	pollJitter = 0.2
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// pollsAtOnce bounds the polls under way.
	pollsAtOnce = 16
	// listInterval is the time between two readings of the platform's list.
	listInterval = time.Second
	// retainInterval is the time between two looks at the pausing programs.
	retainInterval = time.Second
)

// follow polls the targets and looks at pausing programs until ctx ends.
func (s *Scheduler) follow(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var polls errgroup.Group
	polls.SetLimit(pollsAtOnce)
	defer func() { _ = polls.Wait() }()
	var retainAt time.Time
	for {
		now := time.Now()
		s.pollDue(ctx, now, &polls)
		s.publishStates(now)
		if !now.Before(retainAt) {
			retainAt = now.Add(retainInterval)
			polls.TryGo(func() error { s.retain(ctx, now); return nil })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Scheduler) pollDue(ctx context.Context, now time.Time, polls *errgroup.Group) {
	t, _ := s.current()
	if t == nil {
		return
	}
	followed := t.followed()
	least := time.Duration(len(followed)) * time.Second / pollsPerSecond
	for _, one := range followed {
		interval := max(one.pollInterval(now), least)
		if !one.duePoll(now, s.random.jitter(interval, pollJitter)) {
			continue
		}
		if !polls.TryGo(func() error { s.poll(ctx, one); return nil }) {
			one.pollDone()
		}
	}
}

// followed returns the engines that this host uses or has lost.
func (t *table) followed() []*target {
	used := make(map[*routing.Target]bool)
	for _, p := range t.pools {
		for _, r := range p.chosen() {
			used[r] = true
		}
	}
	var list []*target
	for _, one := range t.ordered {
		lost := one.route.State() != routing.Healthy
		busy := one.route.Running() > 0
		if one.isEngine() && (used[one.route] || lost || busy) {
			list = append(list, one)
		}
	}
	return list
}

func (p *pool) chosen() []*routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subset
}

// pollInterval returns the time between two reports of the target. A target
// that is not healthy is asked as often as one in use, so that its return is
// seen.
func (t *target) pollInterval(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.route.Running() > 0 || t.route.State() != routing.Healthy {
		t.usedAt = now
	}
	if now.Sub(t.usedAt) < activeFor {
		return pollInterval
	}
	return idlePollInterval
}

// duePoll says whether the target is due, and reserves the poll if it is. The
// interval counts from the last poll, so that a target that comes into use is
// asked soon.
func (t *target) duePoll(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polling || now.Sub(t.polledAt) < interval {
		return false
	}
	t.polling = true
	t.polledAt = now
	return true
}

func (t *target) pollDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.polling = false
}

// poll reads one target's report and cache events.
func (s *Scheduler) poll(ctx context.Context, t *target) {
	defer t.pollDone()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	status, err := s.params.Engine.Status(ctx, t.port())
	now := time.Now()
	if err != nil {
		s.missed(t, now)
		return
	}
	s.dists.observe(t.route.DataCentre, now.Sub(started))
	s.reported(t, status, now)
	if t.isBehind(status.LastEvent) {
		s.readEvents(ctx, t, now)
	}
}

// isBehind says whether an event has come out that was not read.
func (t *target) isBehind(last uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return last > t.lastEvent
}

func (s *Scheduler) missed(t *target, now time.Time) {
	t.mu.Lock()
	t.health.ReportMissed(now)
	changed := s.publishState(t, now)
	t.mu.Unlock()
	if changed {
		s.refreshPools(now)
	}
}

func (s *Scheduler) reported(t *target, status port.EngineStatus, now time.Time) {
	t.report.Store(&status)
	if status.ObservedAt.IsZero() {
		status.ObservedAt = now
	}
	restarted := t.route.Observe(routing.Report{
		Load:           status.Running + status.Queued,
		UsedTokens:     status.KVTokens,
		CapacityTokens: status.KVCapacity,
		Incarnation:    status.Incarnation,
		ObservedAt:     status.ObservedAt,
	})
	t.mu.Lock()
	if restarted {
		t.limiter.Reset(s.hosts())
		t.lastEvent = 0
	}
	t.limiter.Report(now, status.Queued)
	s.publishLimit(t)
	t.health.ReportReceived(status.Leaving)
	changed := s.publishState(t, now)
	t.mu.Unlock()
	if changed {
		s.refreshPools(now)
		return
	}
	s.wakePools(now)
}

// wakePools grants what a new report lets through.
func (s *Scheduler) wakePools(now time.Time) {
	for _, p := range s.table.Load().pools {
		p.wake(now)
	}
}

// readEvents takes the cache events since the last poll. Their age is not
// known, so a newer confirmation by an answer stands against them.
func (s *Scheduler) readEvents(ctx context.Context, t *target, now time.Time) {
	t.mu.Lock()
	after := t.lastEvent
	t.mu.Unlock()
	events, err := s.params.Engine.Events(ctx, t.port(), after)
	if err != nil {
		return
	}
	for _, e := range events {
		after = max(after, e.Seq)
		s.beliefs.event(t.route, e, now.Add(-eventLag))
	}
	t.mu.Lock()
	t.lastEvent = max(t.lastEvent, after)
	t.mu.Unlock()
}

// eventLag is how late cache events are taken to be.
const eventLag = 5 * time.Second

// publishStates lets holds and probes that ran out take effect.
func (s *Scheduler) publishStates(now time.Time) {
	t, _ := s.current()
	if t == nil {
		return
	}
	changed := false
	for _, one := range t.ordered {
		one.mu.Lock()
		changed = s.publishState(one, now) || changed
		one.mu.Unlock()
	}
	if changed {
		s.refreshPools(now)
	}
}

func (s *Scheduler) refreshPools(now time.Time) {
	for _, p := range s.table.Load().pools {
		p.refresh(now)
	}
}

// followList reads the platform's list of leaving targets until ctx ends.
func (s *Scheduler) followList(ctx context.Context) {
	for {
		s.readList(ctx)
		wait := time.NewTimer(s.random.jitter(listInterval, pollJitter))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
	}
}

func (s *Scheduler) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	listed, err := s.params.HostList.Targets(ctx)
	if err != nil {
		return
	}
	t, _ := s.current()
	if t == nil {
		return
	}
	leaving := make(map[string]bool, len(listed))
	for _, l := range listed {
		leaving[l.Name] = l.Leaving
	}
	for _, one := range t.ordered {
		one.mu.Lock()
		one.health.ListedLeaving = leaving[one.route.Name]
		one.mu.Unlock()
	}
	s.publishStates(time.Now())
}
