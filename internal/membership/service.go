// Package membership runs the membership protocol of a host: it exchanges heartbeats
// with peers and reads the platform's host list.
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

// Settings are the intervals and limits of a Service. Zero values are replaced by
// defaults.
type Settings struct {
	Protocol core.Settings

	// ExchangeTimeout bounds one exchange with another host.
	ExchangeTimeout time.Duration
	// ListInterval is the time between reads of the host list.
	ListInterval time.Duration
	// ListTimeout bounds one read of the host list.
	ListTimeout time.Duration
	// Seed is the seed of the random choices; zero means the host's incarnation.
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

// Quarantine keeps the fingerprints of poisoned content, which hosts exchange in
// their heartbeats.
type Quarantine interface {
	// Quarantined returns the known fingerprints, the newest one last.
	Quarantined() []uint64
	// Quarantine adds fingerprints received from another host.
	Quarantine(fingerprints ...uint64)
}

// Params are the dependencies and settings of a Service.
type Params struct {
	Self     port.Host
	Peers    port.Peers
	HostList port.HostList
	// Holder provides the configuration version that this host announces. It may be
	// nil; the version is then zero.
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

	// mu guards core, changed and reportedStats; it is never held across I/O.
	mu            sync.Mutex
	core          *core.Core
	changed       chan struct{}
	reportedStats core.Stats

	table atomic.Pointer[[]port.Member]
	// wakeCh wakes runProtocol after a message has made work due earlier.
	wakeCh chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	tasks  sync.WaitGroup
}

var _ port.Members = (*Service)(nil)

// New returns a service that is not yet started. Its table contains only the host
// itself.
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

// Start starts exchanging heartbeats and reading the host list, and returns
// immediately.
func (s *Service) Start(context.Context) error {
	s.tasks.Go(s.runProtocol)
	s.tasks.Go(s.pollHostList)
	return nil
}

// Stop stops the tasks that Start started and waits for them.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	return nil
}

// Self returns this host.
func (s *Service) Self() port.Host { return s.Params.Self }

// Table returns all known members, including this host, sorted by ID.
func (s *Service) Table() []port.Member { return *s.table.Load() }

// Changed returns a channel that is closed when the table next changes.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Leave announces to some other hosts that this host is leaving, and returns when
// these exchanges have ended. It returns the error of ctx if ctx has ended.
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

// Receive processes the heartbeat of another host and returns the reply. Its error
// is always nil.
func (s *Service) Receive(_ context.Context, g port.Gossip) (port.Gossip, error) {
	return s.HandleGossip(g), nil
}

// HandleGossip processes the heartbeat of another host and returns the reply.
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

// Reach probes another host and reports whether it answered. Its error is always
// nil.
func (s *Service) Reach(ctx context.Context, host string) (bool, error) {
	return s.HandleGossipVia(ctx, host)
}

// HandleGossipVia probes another host and reports whether it answered. Its error is
// always nil: an unreachable host is a result, not an error.
func (s *Service) HandleGossipVia(ctx context.Context, host string) (bool, error) {
	s.mu.Lock()
	request := s.core.Request(time.Now())
	s.mu.Unlock()
	return s.exchange(ctx, core.Message{To: host, Gossip: request}), nil
}

// publish updates the metrics and, if the core's table has changed, makes it visible
// to readers. The caller holds mu.
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

// configVersion returns the configuration version of this host; zero means none.
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

// addQuarantined adds fingerprints received from another host to the quarantine.
func (s *Service) addQuarantined(fingerprints []uint64) {
	if s.Quarantine != nil && len(fingerprints) > 0 {
		s.Quarantine.Quarantine(fingerprints...)
	}
}
