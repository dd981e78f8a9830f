package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// configPollInterval is the interval at which a Service checks for its first
// configuration.
const configPollInterval = 50 * time.Millisecond

// Service claims partitions and implements port.Programs for the partitions that
// this host owns.
type Service struct {
	params  Params
	self    ledger.Writer
	limiter *rate.Limiter
	// layout is nil until the first configuration is in effect.
	layout atomic.Pointer[layout]
	// ready is closed once there is a layout.
	ready chan struct{}
	// changed wakes the claim loop.
	changed chan struct{}
	leaving atomic.Bool
	// candidates are the possible owners at the last evaluation of the claims.
	// Only the claim loop uses them.
	candidates    []string
	organisations organisations
	// quarantines are written again before they are trimmed.
	quarantines quarantines
	// incarnations are the incarnations that the engines last reported, by target
	// name.
	incarnations atomic.Pointer[map[string]uint64]

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// stopping is held by Stop while it cancels ctx, so that no goroutine starts
	// after that.
	stopping sync.RWMutex
}

// layout holds the partitions and streams. It does not change after the start.
type layout struct {
	partitions []*partitionState
	streams    []*stream
}

var _ port.Programs = (*Service)(nil)

// New returns a Service that has not been started.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	if p.Appender == nil {
		p.Appender = p.Log
	}
	if p.Metrics == nil {
		p.Metrics = tally.NoopScope
	}
	return &Service{
		params:        p,
		limiter:       rate.NewLimiter(rate.Limit(p.Settings.AppendsPerSecond), p.Settings.AppendBurst),
		changed:       make(chan struct{}, 1),
		ready:         make(chan struct{}),
		quarantines:   quarantines{lastWritten: make(map[uint64]time.Time)},
		organisations: organisations{reserved: make(map[string]int64)},
	}
}

// Start returns at once. The Service follows the streams and claims partitions as
// soon as a configuration is in effect.
func (s *Service) Start(context.Context) error {
	self := s.params.Members.Self()
	s.self = ledger.Writer{Host: self.ID, Incarnation: self.Incarnation}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.spawn(s.initialize)
	return nil
}

// Stop cancels all work and waits until it has ended. For a planned stop, call
// Release first.
func (s *Service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.stopping.Lock()
	s.cancel()
	s.stopping.Unlock()
	s.group.Wait()
	return nil
}

// spawn runs f in a goroutine that Stop waits for. It does nothing after Stop.
func (s *Service) spawn(f func()) {
	s.stopping.RLock()
	defer s.stopping.RUnlock()
	if s.ctx.Err() == nil {
		s.group.Go(f)
	}
}

func (s *Service) initialize() {
	snapshot := s.awaitConfig()
	if snapshot == nil {
		return
	}
	l := s.newLayout(snapshot.Document)
	s.layout.Store(l)
	close(s.ready)
	for _, t := range l.streams {
		s.spawn(func() { t.tail(s.ctx) })
		s.spawn(func() { t.writer.run(s.ctx) })
	}
	s.refreshIncarnations()
	s.spawn(s.pollIncarnations)
	s.spawn(s.sweep)
	s.claimLoop()
}

func (s *Service) awaitConfig() *config.Snapshot {
	for {
		if snapshot := s.params.Config.Current(); snapshot != nil {
			return snapshot
		}
		if !sleep(s.ctx, configPollInterval) {
			return nil
		}
	}
}

func (s *Service) newLayout(d *config.Document) *layout {
	l := &layout{}
	for i := range d.Streams {
		l.streams = append(l.streams, newStream(s, partition.Stream(i, d.Streams)))
	}
	for i := range d.Partitions {
		l.partitions = append(l.partitions, newPartitionState(s, i, l.streams[i%d.Streams]))
	}
	return l
}

func (s *Service) partitionsOf(t *stream) []*partitionState {
	var parts []*partitionState
	for _, p := range s.layout.Load().partitions {
		if p.stream == t {
			parts = append(parts, p)
		}
	}
	return parts
}

func (s *Service) isSelf(w ledger.Writer) bool { return w == s.self }

func (s *Service) count(name string) { s.params.Metrics.Counter(name).Inc(1) }

// claimsChanged wakes the claim loop.
func (s *Service) claimsChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Partitions returns this host's view of all partitions.
func (s *Service) Partitions() []port.PartitionView {
	l := s.layout.Load()
	if l == nil {
		return nil
	}
	views := make([]port.PartitionView, 0, len(l.partitions))
	for _, p := range l.partitions {
		views = append(views, p.view())
	}
	return views
}

func notReady() *fault.Fault {
	f := fault.New(fault.NotReady, fault.NotRun, "no configuration is in force yet")
	return f.WithRetryAfter(time.Second)
}
