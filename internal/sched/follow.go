package sched

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

const (
	// pollTick is the interval at which due polls are started.
	pollTick = 100 * time.Millisecond
	// pollInterval is the time between two polls of a target that this host uses,
	// idlePollInterval that of a target without recent calls.
	pollInterval     = time.Second
	idlePollInterval = 4 * time.Second
	// activeDuration is how long a target counts as in use after a call.
	activeDuration = 2 * time.Second
	// maxPollsPerSecond bounds the polls of one host. With more targets the interval
	// is longer.
	maxPollsPerSecond = 8
	// pollJitter is the fraction by which the interval varies.
	pollJitter = 0.2
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the polls in flight.
	maxConcurrentPolls = 16
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// retentionInterval is the time between two retention decisions for the caches of
	// pausing programs.
	retentionInterval = time.Second
)

// pollTargets polls the targets and applies the retention of caches until ctx ends.
func (s *Scheduler) pollTargets(ctx context.Context) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	defer func() { _ = polls.Wait() }()
	var retainAt time.Time
	for {
		now := time.Now()
		s.pollDue(ctx, now, &polls)
		s.publishStates(now)
		if !now.Before(retainAt) {
			retainAt = now.Add(retentionInterval)
			polls.TryGo(func() error { s.applyRetention(ctx, now); return nil })
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
	followed := t.polledTargets()
	minInterval := time.Duration(len(followed)) * time.Second / maxPollsPerSecond
	for _, one := range followed {
		interval := max(one.pollInterval(now), minInterval)
		if !one.beginPoll(now, s.random.jitter(interval, pollJitter)) {
			continue
		}
		if !polls.TryGo(func() error { s.poll(ctx, one); return nil }) {
			one.endPoll()
		}
	}
}

// polledTargets returns the engines that this host uses, that run its calls, or that
// are not healthy. It leaves out services, which send no reports.
func (t *table) polledTargets() []*target {
	used := make(map[*routing.Target]bool)
	for _, p := range t.pools {
		for _, r := range p.currentSubset() {
			used[r] = true
		}
	}
	var list []*target
	for _, one := range t.ordered {
		unhealthy := one.route.State() != routing.Healthy
		busy := one.route.Running() > 0
		if one.isEngine() && (used[one.route] || unhealthy || busy) {
			list = append(list, one)
		}
	}
	return list
}

func (p *pool) currentSubset() []*routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subset
}

// pollInterval returns the time between two polls of the target. A target that is not
// healthy is polled as often as one in use, so that its recovery is detected.
func (t *target) pollInterval(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.route.Running() > 0 || t.route.State() != routing.Healthy {
		t.usedAt = now
	}
	if now.Sub(t.usedAt) < activeDuration {
		return pollInterval
	}
	return idlePollInterval
}

// beginPoll reports whether the target is due for a poll, and marks it as being polled if
// so. The interval counts from the last poll, so that a target that comes into use is
// polled soon.
func (t *target) beginPoll(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polling || now.Sub(t.polledAt) < interval {
		return false
	}
	t.polling = true
	t.polledAt = now
	return true
}

func (t *target) endPoll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.polling = false
}

// poll reads one target's report, and its cache events if there are new ones.
func (s *Scheduler) poll(ctx context.Context, t *target) {
	defer t.endPoll()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	status, err := s.params.Engine.Status(ctx, t.port())
	now := time.Now()
	if err != nil {
		s.recordPollFailure(t, now)
		return
	}
	s.distances.observe(t.route.DataCentre, now.Sub(started))
	s.recordReport(t, status, now)
	if t.hasUnreadEvents(status.LastEvent) {
		s.readEvents(ctx, t, now)
	}
}

// hasUnreadEvents reports whether the target has published events after the last one
// that was read.
func (t *target) hasUnreadEvents(last uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return last > t.lastEvent
}

func (s *Scheduler) recordPollFailure(t *target, now time.Time) {
	t.mu.Lock()
	t.health.ReportMissed(now)
	changed := s.publishState(t, now)
	t.mu.Unlock()
	if changed {
		s.refreshPools(now)
	}
}

func (s *Scheduler) recordReport(t *target, status port.EngineStatus, now time.Time) {
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
		t.limiter.Reset(s.hostCount())
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

// wakePools grants the calls that a new report allows.
func (s *Scheduler) wakePools(now time.Time) {
	for _, p := range s.table.Load().pools {
		p.wake(now)
	}
}

// readEvents reads the cache events since the last poll. Their age is unknown, so they
// are recorded as maxEventAge old and do not override the results of later answers.
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
		s.cacheLocations.event(t.route, e, now.Add(-maxEventAge))
	}
	t.mu.Lock()
	t.lastEvent = max(t.lastEvent, after)
	t.mu.Unlock()
}

// maxEventAge is the age that cache events are assumed to have.
const maxEventAge = 5 * time.Second

// publishStates publishes the target states that changed with time, such as after
// the end of a wait or probe.
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

// pollList reads the platform's list of leaving targets until ctx ends.
func (s *Scheduler) pollList(ctx context.Context) {
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
