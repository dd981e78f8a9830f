// Package occupancy spreads requests over the targets of a service. Each target has a
// coordinator, the first host in rendezvous order, which counts the requests of all
// hosts at the target. A host that sends a request asks the coordinators of the targets
// that the request prefers, and takes the first one that is neither much fuller than
// the others nor known to fail. Nothing depends on a coordinator: without its answer
// the host goes by what it knows itself.
package occupancy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/background"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/pause"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// admitTimeout limits the wait for a coordinator, which answers within a few
	// milliseconds.
	admitTimeout = 25 * time.Millisecond
	// finishTimeout limits a report of how a request ended.
	finishTimeout = 200 * time.Millisecond
	// maxCoordinators is how many hosts may count the requests at a target, one at a
	// time.
	maxCoordinators = 2
	// maxAsked is how many targets a request compares before it takes the one with the
	// fewest requests.
	maxAsked = 4
	// maxReports limits the reports in progress.
	maxReports = 128
	// sweepInterval is how often counters of targets without requests are dropped.
	sweepInterval = 5 * time.Second
)

// Params are the dependencies of a Service.
type Params struct {
	Peers port.OccupancyPeers
	// Limits holds what this host knows of the rate limits of targets.
	Limits Limits
	// Targets holds what this host knows of the speeds of targets.
	Targets Targets
	// RenewedAt returns when this host last renewed its record, by which others know it.
	RenewedAt func() time.Time
	Logger    logr.Logger
	Scope     tally.Scope
}

// Service places requests and counts those at the targets of which this host is the
// coordinator. It implements gateway.Placement and port.OccupancyServer.
type Service struct {
	peers port.OccupancyPeers
	// host identifies this run of the process.
	host    uint64
	log     logr.Logger
	metrics *metrics
	order   rendezvous.Cache
	// reports is a semaphore.
	reports chan struct{}

	mu       sync.Mutex
	counters map[string]*occupancy.Counter
	// bounds holds the bound of each service.
	bounds map[string]*occupancy.Bound
	paused pause.Hosts
	// quotas holds the quotas of targets that have named a rate limit and of which this
	// host is a coordinator.
	quotas map[string]*quota
	// known are the other hosts, departed when hosts have left that were known lately.
	known    []string
	departed map[string]time.Time

	// learners holds what samples have shown of targets with model engines; gauged is how many
	// targets have gauges.
	learners map[string]*learner
	gauged   int
	lateness lateness

	limits    Limits
	targets   Targets
	renewedAt func() time.Time
	startedAt time.Time

	ctx  context.Context
	stop context.CancelFunc
	done background.Group
}

var (
	_ gateway.Placement    = (*Service)(nil)
	_ port.OccupancyServer = (*Service)(nil)
)

// New returns a service. Call Start to run its background work.
func New(p Params) *Service {
	s := &Service{
		peers:    p.Peers,
		host:     rand.Uint64(),
		log:      p.Logger.WithName("occupancy"),
		metrics:  newMetrics(p.Scope.SubScope("occupancy")),
		order:    rendezvous.Cache{Limit: maxCoordinators},
		reports:  make(chan struct{}, maxReports),
		counters: make(map[string]*occupancy.Counter),
		bounds:   make(map[string]*occupancy.Bound),
		quotas:   make(map[string]*quota),
		departed: make(map[string]time.Time),
		learners: make(map[string]*learner),

		limits:    p.Limits,
		targets:   p.Targets,
		renewedAt: p.RenewedAt,
		startedAt: time.Now(),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start starts the background work. It returns no error.
func (s *Service) Start(context.Context) error {
	s.done.Go(s.sweep)
	s.done.Go(func() { s.lateness.run(s.ctx) })
	return nil
}

// Stop stops the background work and waits for the reports in progress.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// sweep drops idle counters until the service is stopped.
func (s *Service) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.dropIdle(now)
		}
	}
}

func (s *Service) dropIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, c := range s.counters {
		if c.IsIdle(now) {
			delete(s.counters, target)
		}
	}
	s.dropIdleQuotas(now)
	s.dropIdleLearners(now)
	s.recordDeparted(s.peers.Hosts(), now)
	s.paused.Retain(s.peers.Hosts())
}

// Place implements gateway.Placement.
func (s *Service) Place(ctx context.Context, r gateway.PlaceRequest) gateway.Place {
	lease := rand.Uint64()
	var compared []int
	replies := make([]occupancy.Reply, 0, maxAsked)
	for i, m := range r.Candidates[:min(maxAsked, len(r.Candidates))] {
		cached := r.CachedTokens
		if i > 0 {
			cached = 0
		}
		reply, result := s.ask(ctx, port.AdmitRequest{Target: m.ID, Lease: lease, Limit: s.limit(m, cached), TTL: r.TTL, Level: r.Level})
		switch result {
		case denied:
			continue
		case unanswered:
			// The coordinator does not answer, so that the host's own preference decides.
			return s.placeAlone(m, i)
		}
		if i == 0 {
			s.observe(m, reply.InProgress)
		}
		if reply.Admitted {
			s.metrics.admitted.Inc(1)
			return s.place(r.Candidates, i, i+1, lease, reply.Reply)
		}
		compared, replies = append(compared, i), append(replies, reply.Reply)
	}
	for len(replies) > 0 {
		best := occupancy.LeastOccupied(replies)
		index, reply := compared[best], replies[best]
		s.metrics.overBound.Inc(1)
		// Without a limit the request is admitted, unless the rate limit forbids it or the
		// coordinator has just ended.
		if _, result := s.ask(ctx, port.AdmitRequest{Target: r.Candidates[index].ID, Lease: lease, TTL: r.TTL, Level: r.Level}); result != denied {
			return s.place(r.Candidates, index, len(replies), lease, reply)
		}
		compared, replies = slices.Delete(compared, best, best+1), slices.Delete(replies, best, best+1)
	}
	return gateway.Place{IsDenied: true, Asked: len(r.Candidates)}
}

// place returns the place of a request that its coordinator counts.
func (s *Service) place(candidates []fleet.Member, index, asked int, lease uint64, r occupancy.Reply) gateway.Place {
	target := candidates[index].ID
	p := s.newSampler(candidates[index], r.InProgress)
	return gateway.Place{
		Index:      index,
		Asked:      asked,
		InProgress: r.InProgress,
		Observe:    p.observe,
		Finish: func(result occupancy.Result) {
			s.finish(port.FinishRequest{Target: target, Lease: lease, Host: s.host, Result: result, Observation: p.observation()})
		},
	}
}

// placeAlone returns the place of a request whose coordinator does not answer. Its sample stays
// at this host.
func (s *Service) placeAlone(m fleet.Member, index int) gateway.Place {
	p := s.newSampler(m, 0)
	return gateway.Place{
		Index:   index,
		Asked:   index + 1,
		Observe: p.observe,
		Finish: func(occupancy.Result) {
			s.recordSample(m.ID, p.observation(), 1, false, time.Now())
		},
	}
}

// limit returns the number of requests in progress from which on a request goes to another
// target than m.
func (s *Service) limit(m fleet.Member, cachedTokens int64) int {
	slots, speed := s.targets.Capacity(m, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound(m.Service).LimitAt(slots, cachedTokens, speed)
}

// observe records the requests in progress at the first target that a request prefers.
func (s *Service) observe(m fleet.Member, inProgress int) {
	_, speed := s.targets.Capacity(m, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(m.Service).ObserveAt(inProgress, speed)
}

// bound returns the bound of a service. The caller holds s.mu.
func (s *Service) bound(service string) *occupancy.Bound {
	b := s.bounds[service]
	if b == nil {
		b = &occupancy.Bound{}
		s.bounds[service] = b
	}
	return b
}

// coordinator returns the coordinator of a target: the first host in the target's order
// that has not failed to answer a moment ago. It returns false if none of the first two
// answers.
func (s *Service) coordinator(target string) (string, bool) {
	order := s.order.Order(target, append(s.peers.Hosts(), s.peers.Self()))
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range order {
		if host == s.peers.Self() || !s.paused.IsPaused(host, now) {
			return host, true
		}
	}
	return "", false
}

// admit asks the coordinator of a target to count a request. It returns false if the
// coordinator does not answer.
func (s *Service) admit(ctx context.Context, r port.AdmitRequest) (port.AdmitReply, bool) {
	host, ok := s.coordinator(r.Target)
	if !ok {
		s.metrics.unanswered.Inc(1)
		return port.AdmitReply{}, false
	}
	return s.admitAt(ctx, host, r)
}

// admitAt asks a host to count a request.
func (s *Service) admitAt(ctx context.Context, host string, r port.AdmitRequest) (port.AdmitReply, bool) {
	r.Host = s.host
	r.RateLimit = s.limits.Limit(r.Target)
	if host == s.peers.Self() {
		return s.AdmitLocal(r), true
	}
	callCtx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	reply, err := s.peers.Admit(callCtx, host, r)
	if ctx.Err() != nil {
		return port.AdmitReply{}, false
	}
	s.recordAnswer(host, r.Target, err)
	if err == nil {
		s.learn(host, reply.RateLimits)
	}
	return reply, err == nil
}

// recordAnswer records whether a coordinator has answered.
func (s *Service) recordAnswer(host, target string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.paused.Succeeded(host)
		return
	}
	s.metrics.unanswered.Inc(1)
	if now := time.Now(); !s.paused.IsPaused(host, now) {
		s.paused.Failed(host, now)
		s.log.Info("Coordinator of a target did not answer; pausing it.", "host", host, "target", target, "cause", err.Error())
	}
}

// finish reports in the background how a request ended. It does nothing if maxReports
// reports are in progress: the coordinator then counts the request until its lease ends.
func (s *Service) finish(r port.FinishRequest) {
	r.RateLimit = s.limits.Limit(r.Target)
	host, ok := s.coordinator(r.Target)
	if !ok {
		return
	}
	if host == s.peers.Self() {
		s.FinishLocal(r)
		return
	}
	s.recordSample(r.Target, r.Observation, float64(r.Observation.InProgress+1), false, time.Now())
	select {
	case s.reports <- struct{}{}:
	default:
		s.metrics.unreported.Inc(1)
		return
	}
	s.done.Go(func() {
		defer func() { <-s.reports }()
		ctx, cancel := context.WithTimeout(s.ctx, finishTimeout)
		defer cancel()
		if err := s.peers.Finish(ctx, host, r); err != nil {
			s.metrics.unreported.Inc(1)
			s.log.V(1).Info("Coordinator of a target was not told of the end of a request.", "host", host, "target", r.Target, "cause", err.Error())
		}
	})
}

// AdmitLocal implements port.OccupancyServer.
func (s *Service) AdmitLocal(r port.AdmitRequest) port.AdmitReply {
	now := time.Now()
	s.learn("", []fleet.TargetLimit{r.RateLimit})
	known := s.limits.Limit(r.Target)
	reply := port.AdmitReply{KnowsRateLimits: true, RateLimits: s.limits.Limits(maxSharedLimits)}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Admitted = true
	if r.TTL > 0 {
		reply.Reply = s.counter(r.Target).Admit(r.Lease, r.Limit, r.TTL, now)
	}
	reply.Learned = s.estimate(r.Target, now)
	s.grant(&reply, r, known, now)
	if !reply.Admitted && r.TTL > 0 {
		s.counter(r.Target).Finish(r.Lease, r.Host, occupancy.Inconclusive, now)
	}
	return reply
}

// FinishLocal implements port.OccupancyServer.
func (s *Service) FinishLocal(r port.FinishRequest) {
	now := time.Now()
	s.learn("", []fleet.TargetLimit{r.RateLimit})
	s.recordSample(r.Target, r.Observation, s.finishLease(r, now), true, now)
}

// finishLease ends a request at its target's counter and returns the mean number of requests at
// the target meanwhile, that request included.
func (s *Service) finishLease(r port.FinishRequest, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLimit(r.Target, r.RateLimit)
	c := s.counter(r.Target)
	load, ok := c.MeanLoad(r.Lease, now)
	if !ok {
		load = float64(r.Observation.InProgress + 1)
	}
	if r.Observation.IsRefused {
		c.Hold(r.Lease, now)
	} else {
		c.Finish(r.Lease, r.Host, r.Result, now)
	}
	return load
}

// counter returns the counter of a target. The caller holds s.mu.
func (s *Service) counter(target string) *occupancy.Counter {
	c := s.counters[target]
	if c == nil {
		c = &occupancy.Counter{}
		s.counters[target] = c
	}
	return c
}
