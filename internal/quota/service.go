// Package quota keeps organisations to their limits over all hosts. Each organisation has two
// coordinators, the first hosts in its rendezvous order. A host asks the first one that answers for
// permits and reports to both what it has admitted. The decisions are in internal/core/quota.
package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/pause"
	core "yuccausher/internal/core/quota"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// maxCoordinators is how many hosts hold the state of an organisation.
	maxCoordinators = 2
	// maxCandidates is how many hosts are tried as coordinators. Of a part of 35% of the hosts that is
	// cut off, all of the first two are in 12% of the cases, all of the first four in 1.5%.
	maxCandidates = 4
	// reportInterval is how often hosts report. Half of the 200 ms that a report may take, since a
	// coordinator that takes over does not know of what was admitted since.
	reportInterval = 100 * time.Millisecond
	// askTimeout limits the wait for a coordinator, which itself waits collectTimeout for other
	// hosts before it refuses a request.
	askTimeout = 80 * time.Millisecond
	// reportTimeout limits a report.
	reportTimeout = 200 * time.Millisecond
	// maxOrganisations limits the organisations of which a host holds state. The system is
	// designed for 2,100.
	maxOrganisations = 8192
	// maxBatch limits the reports in one message, to about 20 kB.
	maxBatch = 256
	// refusalTime is for how long a host refuses requests without asking again, at most as long
	// as the coordinator has said.
	refusalTime = 50 * time.Millisecond
	// minRetryAfter is the shortest advice to callers on when to retry, about their round trip.
	minRetryAfter = 20 * time.Millisecond
	// unsupportedTime is for how long a host of an earlier build is not used as a coordinator.
	unsupportedTime = 5 * time.Second
	// refusalLogInterval is how often refusals of an organisation are logged at most. Organisations
	// are over their limits for 6 to 8 s at a time.
	refusalLogInterval = 5 * time.Second
)

// Params are the dependencies of a Service.
type Params struct {
	Peers port.QuotaPeers
	// Tolerance is by how much limits may be exceeded. If its window is zero, none is judged.
	Tolerance core.Tolerance
	Logger    logr.Logger
	Scope     tally.Scope
}

// Service admits requests of organisations, and coordinates those of which this host is one of the
// first in order. It implements gateway.Quotas and port.QuotaServer.
type Service struct {
	peers     port.QuotaPeers
	tolerance core.Tolerance
	// process is the upper half of the epochs of this process.
	process uint32
	log     logr.Logger
	metrics *metrics
	order   rendezvous.Cache

	mu sync.Mutex
	// generation is the lower half of the newest epoch.
	generation    uint32
	organisations map[string]*organisation
	// active are the organisations that may have something to report.
	active      map[string]*organisation
	coordinated map[string]*core.Coordinator
	paused      pause.Hosts
	unsupported map[string]time.Time
	reporting   map[string]bool
	// collecting is closed when the requests for reports in progress have ended; nil if there are
	// none.
	collecting chan struct{}
	// lists are the newest lists of hosts, the newest first.
	lists []hostList

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// organisation is the state of this host as one that admits requests.
type organisation struct {
	name string
	host *core.Host
	// asking is a semaphore: one request at a time asks, also for those that wait.
	asking  chan struct{}
	waiting int64
	// Requests are refused until refusedUntil, without asking; there may be room at roomAt.
	refusedUntil, roomAt time.Time
	// isAlone is set while no coordinator is reached. Changes are logged.
	isAlone bool
	// refusalLoggedAt is when a refusal was logged last.
	refusalLoggedAt time.Time
}

var (
	_ gateway.Quotas   = (*Service)(nil)
	_ port.QuotaServer = (*Service)(nil)
)

// New returns a service. Call Start to run its background work.
func New(p Params) *Service {
	s := &Service{
		peers:         p.Peers,
		tolerance:     p.Tolerance,
		process:       rand.Uint32(),
		log:           p.Logger.WithName("quota"),
		metrics:       newMetrics(p.Scope.SubScope("quota")),
		order:         rendezvous.Cache{Limit: maxCandidates},
		organisations: make(map[string]*organisation),
		active:        make(map[string]*organisation),
		coordinated:   make(map[string]*core.Coordinator),
		unsupported:   make(map[string]time.Time),
		reporting:     make(map[string]bool),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start starts the background work. It returns no error.
func (s *Service) Start(context.Context) error {
	s.mu.Lock()
	s.updateHosts(time.Now())
	s.mu.Unlock()
	s.done.Go(s.run)
	return nil
}

// Stop stops the background work and waits for the reports in progress.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// admission implements gateway.Admission.
type admission struct {
	service      *Service
	organisation *organisation
}

// Cancel implements gateway.Admission.
func (a admission) Cancel() {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.organisation.host.Cancel()
	a.service.active[a.organisation.name] = a.organisation
	a.service.metrics.cancelled.Inc(1)
}

// unlimited is the admission of a request without a limit.
type unlimited struct{}

// Cancel implements gateway.Admission.
func (unlimited) Cancel() {}

// Admit implements gateway.Quotas.
func (s *Service) Admit(ctx context.Context, name string, limit gateway.OrganisationLimit) (gateway.Admission, error) {
	l := core.Limit{PerSecond: limit.PerSecond, Burst: limit.Burst, Version: limit.Version}
	if s.tolerance.Window <= 0 || !l.IsLimited() {
		return unlimited{}, nil
	}
	s.mu.Lock()
	o := s.organisation(name, time.Now())
	o.host.SetLimit(l)
	o.host.Count(time.Now())
	if a, err := s.tryLocally(o, time.Now()); a != nil || err != nil {
		s.mu.Unlock()
		return a, err
	}
	o.waiting++
	s.mu.Unlock()
	select {
	case o.asking <- struct{}{}:
		defer func() { <-o.asking }()
	case <-ctx.Done():
		s.mu.Lock()
		o.waiting--
		s.mu.Unlock()
		return nil, ctx.Err()
	}
	return s.admitByAsking(ctx, o)
}

// tryLocally admits a request by a permit that the host holds, or refuses it by what a coordinator has
// just said. It returns nothing if a coordinator must be asked. The caller holds s.mu.
func (s *Service) tryLocally(o *organisation, now time.Time) (gateway.Admission, error) {
	if o.host.Take(now) {
		return s.admitted(o), nil
	}
	if now.Before(o.refusedUntil) {
		return nil, s.refusal(o, now)
	}
	return nil, nil
}

// admitted returns the admission of a request. The caller holds s.mu.
func (s *Service) admitted(o *organisation) gateway.Admission {
	s.active[o.name] = o
	s.metrics.admitted.Inc(1)
	return admission{service: s, organisation: o}
}

// refusal returns the error for a request that is over the limit. The caller holds s.mu.
func (s *Service) refusal(o *organisation, now time.Time) error {
	s.metrics.refused.Inc(1)
	if now.Sub(o.refusalLoggedAt) >= refusalLogInterval {
		o.refusalLoggedAt = now
		s.log.Info("Organisation is over its limit.", "organisation", o.name, "retry_after_ms", o.roomAt.Sub(now).Milliseconds(), "alone", o.isAlone)
	}
	return &gateway.QuotaExceededError{Organisation: o.name, RetryAfter: max(o.roomAt.Sub(now), minRetryAfter)}
}

// admitByAsking admits a request by a permit of a coordinator, or by the equal share of this host if
// none answers. The caller holds o.asking.
func (s *Service) admitByAsking(ctx context.Context, o *organisation) (gateway.Admission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { o.waiting-- }()
	now := time.Now()
	if a, err := s.tryLocally(o, now); a != nil || err != nil {
		return a, err // by the answer to a request that asked before
	}
	candidates, n := s.candidates(o.name, now)
	o.host.Retain(candidates, maxCoordinators)
	wait, answers := time.Duration(0), 0
	for i, c := range candidates {
		if c != s.peers.Self() && s.paused.IsPaused(c, now) {
			continue
		}
		if i >= maxCoordinators && !o.host.MayAskOthers(now) {
			break
		}
		reply, ok := s.ask(ctx, o, c)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !ok {
			continue
		}
		s.setAlone(o, false)
		if o.host.Take(time.Now()) {
			return s.admitted(o), nil
		}
		if answers == 0 || reply.RetryAfter < wait {
			wait = reply.RetryAfter
		}
		if answers++; !reply.IsPartial || answers == maxCoordinators {
			break
		}
	}
	now = time.Now()
	if answers == 0 {
		s.setAlone(o, true)
		var isAdmitted bool
		isAdmitted, wait = o.host.TakeShare(n, rand.Float64(), now)
		if isAdmitted {
			s.metrics.uncoordinated.Inc(1)
			return s.admitted(o), nil
		}
	}
	o.refusedUntil, o.roomAt = now.Add(min(wait, refusalTime)), now.Add(wait)
	return nil, s.refusal(o, now)
}

func (s *Service) setAlone(o *organisation, isAlone bool) {
	if o.isAlone != isAlone {
		o.isAlone = isAlone
		s.log.Info("Reach of the coordinators of an organisation changed.", "organisation", o.name, "reached", !isAlone)
	}
}

// maxOvertaken is how often a request asks again because the coordinator has collected a report while
// the reply was under way.
const maxOvertaken = 2

// ask asks a coordinator for permits for all requests that wait. It returns false if there is no answer.
// The caller holds s.mu, which is released meanwhile.
func (s *Service) ask(ctx context.Context, o *organisation, coordinator string) (core.Reply, bool) {
	for range maxOvertaken {
		r := o.host.Report(coordinator, o.waiting, true, time.Now())
		r.Organisation = o.name
		sent := time.Now()
		s.mu.Unlock()
		replies, err := s.tell(ctx, coordinator, []core.Report{r}, askTimeout)
		s.mu.Lock()
		if err != nil {
			return core.Reply{}, false
		}
		s.active[o.name] = o
		if o.host.Answered(coordinator, r, replies[0], sent, time.Now()) {
			return replies[0], true
		}
	}
	return core.Reply{IsPartial: true, RetryAfter: refusalTime}, true
}

// tell sends reports to a coordinator, which may be this host.
func (s *Service) tell(ctx context.Context, coordinator string, reports []core.Report, timeout time.Duration) ([]core.Reply, error) {
	r := port.QuotaReports{From: s.peers.Self(), Reports: reports}
	if coordinator == s.peers.Self() {
		return s.TellLocal(ctx, r), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies, err := s.peers.Tell(callCtx, coordinator, r)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(coordinator, err)
	return replies, err
}

// organisation returns the state of an organisation. The caller holds s.mu.
func (s *Service) organisation(name string, now time.Time) *organisation {
	o := s.organisations[name]
	if o == nil {
		if len(s.organisations) >= maxOrganisations {
			s.dropOrganisations(now)
		}
		s.generation++
		o = &organisation{
			name:   name,
			host:   core.NewHost(s.tolerance, uint64(s.process)<<32|uint64(s.generation), now),
			asking: make(chan struct{}, 1),
		}
		s.organisations[name] = o
	}
	return o
}

// dropOrganisations drops half of the organisations, those without requests for the longest time. The
// caller holds s.mu.
func (s *Service) dropOrganisations(now time.Time) {
	var idle []*organisation
	for name, o := range s.organisations {
		if s.active[name] == nil && o.waiting == 0 {
			idle = append(idle, o)
		}
	}
	slices.SortFunc(idle, func(a, b *organisation) int { return int(b.host.IdleFor(now) - a.host.IdleFor(now)) })
	for _, o := range idle[:(len(idle)+1)/2] {
		delete(s.organisations, o.name)
	}
}
