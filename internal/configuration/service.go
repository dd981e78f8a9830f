// Package configuration keeps the configuration in force at a host: it tails
// the configuration stream, asks peers while the log is away, publishes
// changes, and publishes the version in force again before it expires.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// Params are what a Service needs.
type Params struct {
	Log     port.Log
	Peers   port.Peers
	Members port.Members
	// Holder is where the snapshot in force is kept for all other parts.
	Holder   *config.Holder
	Metrics  tally.Scope
	Logger   logr.Logger
	Settings Settings
}

// Service implements port.Configuration.
type Service struct {
	Params
	// replay belongs to the goroutine of tail.
	replay config.Replay
	view   atomic.Pointer[config.View]
	// raw is the document of the snapshot in force, as it was published.
	raw atomic.Pointer[versioned]

	mu       sync.Mutex
	progress chan struct{}
	pending  map[string]*publication

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// versioned is a document with its version.
type versioned struct {
	version  int64
	document []byte
}

var _ port.Configuration = (*Service)(nil)

// New returns a service that is not yet started. Settings that are zero get
// their defaults.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	p.Logger = p.Logger.WithName("configuration")
	p.Metrics = p.Metrics.SubScope("configuration")
	s := &Service{
		Params:   p,
		progress: make(chan struct{}),
		pending:  make(map[string]*publication),
	}
	s.view.Store(&config.View{})
	return s
}

// Start begins to tail the stream and returns at once.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.tail(ctx) })
	s.tasks.Go(func() { s.followPeers(ctx) })
	s.tasks.Go(func() { s.keepCopied(ctx) })
	return nil
}

// Stop ends the tasks that Start began.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.tasks.Wait()
	return nil
}

// Current returns the version in force and its document; ok is false before
// the first.
func (s *Service) Current() (version int64, document []byte, ok bool) {
	v := s.raw.Load()
	if v == nil {
		return 0, nil, false
	}
	return v.version, v.document, true
}

// offer puts a valid document in force at this host if it is newer.
func (s *Service) offer(version int64, raw []byte, d *config.Document, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Holder.StoreIfNewer(config.NewSnapshot(version, d)) {
		return
	}
	s.raw.Store(&versioned{version: version, document: raw})
	s.Metrics.Gauge("version").Update(float64(version))
	s.Metrics.Tagged(map[string]string{"source": source}).Counter("swaps").Inc(1)
	s.Logger.Info("version in force", "version", version, "source", source)
}

// version returns the version in force at this host; zero is none.
func (s *Service) version() int64 {
	v, _, _ := s.Current()
	return v
}
