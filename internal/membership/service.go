// Package membership runs the membership protocol of a host over its peers
// and the platform's host list.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	core "yuccausher/internal/core/membership"
	"yuccausher/internal/port"
)

// Settings are the times and bounds of a Service.
type Settings struct {
	Protocol core.Settings
	// ExchangeTimeout bounds one exchange with another host.
	ExchangeTimeout time.Duration
	// ListInterval is the time between reads of the host list.
	ListInterval time.Duration
	// ListTimeout bounds one read of the host list.
	ListTimeout time.Duration
	// Seed makes the random choices repeatable; zero takes the incarnation.
	Seed uint64
}

const (
	defaultExchangeTimeout = time.Second
	defaultListInterval    = 5 * time.Second
	defaultListTimeout     = 2 * time.Second
)

func (s Settings) withDefaults(self port.Host) Settings {
	if s.Protocol == (core.Settings{}) {
		s.Protocol = core.Defaults()
	}
	if s.ExchangeTimeout == 0 {
		s.ExchangeTimeout = defaultExchangeTimeout
	}
	if s.ListInterval == 0 {
		s.ListInterval = defaultListInterval
	}
	if s.ListTimeout == 0 {
		s.ListTimeout = defaultListTimeout
	}
	if s.Seed == 0 {
		s.Seed = self.Incarnation
	}
	return s
}

// Quarantine keeps the fingerprints of poisoned content that hosts tell each
// other.
type Quarantine interface {
	// Quarantined returns the known fingerprints, the newest last.
	Quarantined() []uint64
	// Quarantine takes fingerprints from another host.
	Quarantine(fingerprints ...uint64)
}

// Params are what a Service needs.
type Params struct {
	Self     port.Host
	Peers    port.Peers
	HostList port.HostList
	// Holder tells the configuration version of this host; nil tells none.
	Holder *config.Holder
	// Quarantine may be nil.
	Quarantine Quarantine
	Metrics    tally.Scope
	Logger     logr.Logger
	Settings   Settings
}

// Service implements port.Members.
type Service struct {
	Params

	// mu guards core and changed; it is never held across I/O.
	mu            sync.Mutex
	core          *core.Core
	changed       chan struct{}
	reportedStats core.Stats

	table atomic.Pointer[[]port.Member]
	// kick wakes the timer loop after a message made something due earlier.
	wakeCh chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	tasks  sync.WaitGroup
}

var _ port.Members = (*Service)(nil)

// New returns a service that is not yet started. Its table holds the host
// itself alone.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults(p.Self)
	p.Logger = p.Logger.WithName("membership")
	p.Metrics = p.Metrics.SubScope("membership")
	s := &Service{
		Params:  p,
		core:    core.New(p.Self, p.Settings.Protocol, p.Settings.Seed, time.Now()),
		changed: make(chan struct{}),
		wakeCh:  make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish()
	return s
}

// Start begins to exchange heartbeats and returns at once.
func (s *Service) Start(context.Context) error {
	s.tasks.Go(s.runProtocol)
	s.tasks.Go(s.pollHostList)
	return nil
}

// Stop ends the tasks that Start began.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	return nil
}

// Self returns this host.
func (s *Service) Self() port.Host { return s.Params.Self }

// Table returns all known members sorted by ID, this host included.
func (s *Service) Table() []port.Member { return *s.table.Load() }

// Changed is closed when the table changes next.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Leave announces that this host is leaving, and returns when some of the
// others know it or ctx ends.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	s.core.Leave(now)
	messages := s.core.Announce(now)
	s.publish()
	s.mu.Unlock()
	var sent sync.WaitGroup
	for _, m := range messages {
		sent.Go(func() { s.exchange(ctx, m) })
	}
	sent.Wait()
	return ctx.Err()
}

// Receive answers the heartbeat of another host.
func (s *Service) Receive(_ context.Context, g port.Gossip) (port.Gossip, error) {
	return s.HandleGossip(g), nil
}

// HandleGossip answers the heartbeat of another host.
func (s *Service) HandleGossip(g port.Gossip) port.Gossip {
	s.addQuarantined(g.Quarantined)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetConfigVersion(s.configVersion())
	reply := s.core.Handle(time.Now(), g)
	s.publish()
	s.wake()
	return s.withQuarantine(reply)
}

// Reach says whether this host reaches another one.
func (s *Service) Reach(ctx context.Context, host string) (bool, error) {
	return s.HandleGossipVia(ctx, host)
}

// HandleGossipVia says whether this host reaches another one. Its error is
// always nil: a host that is not reached is an answer.
func (s *Service) HandleGossipVia(ctx context.Context, host string) (bool, error) {
	s.mu.Lock()
	request := s.core.Request(time.Now())
	s.mu.Unlock()
	return s.exchange(ctx, core.Message{To: host, Gossip: request}), nil
}

// publish makes a changed table visible. The caller holds mu.
func (s *Service) publish() {
	s.reportStats()
	table, changed := s.core.Table()
	if !changed {
		return
	}
	s.table.Store(&table)
	close(s.changed)
	s.changed = make(chan struct{})
	s.Metrics.Gauge("members").Update(float64(len(table)))
}

func (s *Service) configVersion() int64 {
	if s.Holder == nil {
		return 0
	}
	snapshot := s.Holder.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

func (s *Service) addQuarantined(fingerprints []uint64) {
	if s.Quarantine != nil && len(fingerprints) > 0 {
		s.Quarantine.Quarantine(fingerprints...)
	}
}
