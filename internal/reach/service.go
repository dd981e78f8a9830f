// Package reach finds out whether this host has lost its path to all targets, as in a
// partition, from the requests that it sends and by connecting to a few targets.
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/gateway"
	"yuccausher/internal/upstream"
)

const (
	// pollInterval is how often the host looks for signs of a lost path.
	pollInterval = 100 * time.Millisecond
	// examineInterval is the least interval between two examinations.
	examineInterval = 250 * time.Millisecond
	// calmInterval is the same after one that found a target, if silence is the only sign:
	// targets that are all slow must not be dialled all the time.
	calmInterval = time.Second
	// examinedTargets is how many targets an examination connects to, at the same time.
	examinedTargets = 3
	// minFailures is how many examinations in a row must find the host cut off before requests
	// that wait for answers are given up.
	minFailures = 2
	// connectTimeout limits each connection. Round trips within a region take milliseconds.
	connectTimeout = 250 * time.Millisecond
)

// Params are the dependencies of a Service.
type Params struct {
	Fleet *fleet.Fleet
	// Probe returns nil if a target accepts connections.
	Probe  func(context.Context, upstream.Target) error
	Logger logr.Logger
	Scope  tally.Scope
}

// Service observes the path to the targets. It implements upstream.Observer and
// gateway.Reach.
type Service struct {
	params Params
	log    logr.Logger
	scope  tally.Scope
	// cutOff is 1 while the host is cut off.
	cutOff tally.Gauge
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	monitor *reach.Monitor
	// since is when the state began.
	since time.Time
	// failures counts the examinations in a row that found the host cut off.
	failures int
	// waiting holds the functions to call when the host is cut off for certain.
	waiting map[int]func()
	nextID  int
}

var (
	_ upstream.Observer = (*Service)(nil)
	_ gateway.Reach     = (*Service)(nil)
)

// New returns a service. Call Start to begin observing.
func New(p Params) *Service {
	scope := p.Scope.SubScope("reach")
	return &Service{
		params:  p,
		log:     p.Logger.WithName("reach"),
		scope:   scope,
		cutOff:  scope.Gauge("cut_off"),
		monitor: reach.New(),
		since:   time.Now(),
		waiting: make(map[int]func()),
	}
}

// Start starts observing in the background.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop stops observing.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// State returns what the host believes of its path to the targets.
func (s *Service) State() reach.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.State()
}

// OnCutOff calls f once if the host is cut off for certain before stop is called.
func (s *Service) OnCutOff(f func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.waiting[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// ConnectFailed implements upstream.Observer.
func (s *Service) ConnectFailed(target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Failed(target.ID, time.Now())
}

// Connected implements upstream.Observer.
func (s *Service) Connected(upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(s.monitor.Connected)
}

// Received implements upstream.Observer.
func (s *Service) Received() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Received(time.Now())
}

// Waiting implements upstream.Observer.
func (s *Service) Waiting() (answered func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.monitor.Wait(time.Now())
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.monitor.Answered(id)
	}
}

// update changes the state and reports a change. The caller holds mu.
func (s *Service) update(change func()) {
	before := s.monitor.State()
	change()
	after := s.monitor.State()
	if after == before {
		return
	}
	now := time.Now()
	s.log.Info("Path to the targets changed.", "from", before.String(), "to", after.String(), "after_ms", now.Sub(s.since).Milliseconds())
	s.since = now
	s.failures = 0
	s.cutOff.Update(0)
	if after == reach.CutOff {
		s.cutOff.Update(1)
	}
}

// confirm calls the waiting functions after minFailures examinations in a row have found the
// host cut off. The caller holds mu.
func (s *Service) confirm() {
	if s.monitor.State() != reach.CutOff {
		return
	}
	if s.failures++; s.failures < minFailures {
		return
	}
	for id, f := range s.waiting {
		delete(s.waiting, id)
		go f()
	}
}

// run examines the path whenever there are signs that it is lost, until ctx ends.
func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var examinedAt, reachedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			sign := s.suspects(now)
			isCalm := sign == reach.Silence && now.Sub(reachedAt) < calmInterval
			if sign == reach.None || isCalm || now.Sub(examinedAt) < examineInterval {
				continue
			}
		}
		examinedAt = time.Now()
		if s.examine(ctx) {
			reachedAt = examinedAt
		}
	}
}

func (s *Service) suspects(now time.Time) reach.Sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.Suspects(now)
}

// examine connects to a few targets and returns whether one of them accepts a connection.
func (s *Service) examine(ctx context.Context) bool {
	began := time.Now()
	targets := s.sample("")
	if len(targets) == 0 {
		return true // there is nothing to reach
	}
	isReached := s.reachesAny(ctx, targets)
	if ctx.Err() != nil {
		return isReached
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isReached {
		s.count("reached")
		s.update(s.monitor.Connected)
		return true
	}
	s.count("not_reached")
	s.update(func() { s.monitor.Examined(began, time.Now()) })
	s.confirm()
	return false
}

func (s *Service) count(result string) {
	s.scope.Tagged(map[string]string{"result": result}).Counter("examinations").Inc(1)
}

// ReachesOthers reports whether this host reaches any target besides one that it does not reach,
// or has no other. A target that can't be reached from a host without a path to any says
// nothing about the target.
func (s *Service) ReachesOthers(ctx context.Context, target upstream.Target) bool {
	others := s.sample(target.ID)
	return len(others) == 0 || s.reachesAny(ctx, others)
}

// reachesAny reports whether any of some targets accepts a connection.
func (s *Service) reachesAny(ctx context.Context, targets []upstream.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- s.params.Probe(ctx, t) }()
	}
	for range targets {
		if <-results == nil {
			return true
		}
	}
	return false
}

// sample returns a few random targets without the excluded one, first those that have not failed
// to accept a connection lately.
func (s *Service) sample(excluded string) []upstream.Target {
	members := s.params.Fleet.Members()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	var sound, failed []upstream.Target
	for _, m := range members {
		t := upstream.Target{ID: m.ID, Address: m.Address, StartedAt: m.StartedAt}
		switch {
		case m.ID == excluded:
		case s.monitor.HasFailed(m.ID):
			failed = append(failed, t)
		default:
			sound = append(sound, t)
		}
	}
	all := append(sound, failed...)
	return all[:min(len(all), examinedTargets)]
}
