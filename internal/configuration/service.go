// Package configuration maintains the configuration in effect at a host. It follows
// the configuration stream, fetches versions from peers while the log is unavailable,
// publishes changes, and publishes copies of the version in effect before it expires
// from the log.
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

// Params are the dependencies and settings of a Service.
type Params struct {
	Log     port.Log
	Peers   port.Peers
	Members port.Members
	// Holder receives the snapshot in effect, for use by all other components.
	Holder   *config.Holder
	Metrics  tally.Scope
	Logger   logr.Logger
	Settings Settings
}

// Service implements port.Configuration.
type Service struct {
	Params
	// replay is used only by the goroutine of tail.
	replay config.Replay
	view   atomic.Pointer[config.View]
	// current is the document of the snapshot in effect, as it was published.
	current atomic.Pointer[versionedDocument]

	mu          sync.Mutex
	viewChanged chan struct{}
	pending     map[string]*publication

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// versionedDocument is a document with its version.
type versionedDocument struct {
	version  int64
	document []byte
}

var _ port.Configuration = (*Service)(nil)

// New returns a service that is not yet started.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	p.Logger = p.Logger.WithName("configuration")
	p.Metrics = p.Metrics.SubScope("configuration")
	s := &Service{
		Params:      p,
		viewChanged: make(chan struct{}),
		pending:     make(map[string]*publication),
	}
	s.view.Store(&config.View{})
	return s
}

// Start starts following the stream, polling peers and publishing copies, and returns
// immediately.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.tail(ctx) })
	s.tasks.Go(func() { s.pollPeers(ctx) })
	s.tasks.Go(func() { s.runCopies(ctx) })
	return nil
}

// Stop stops the tasks that Start started and waits for them.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.tasks.Wait()
	return nil
}

// Current returns the version in effect and its document; ok is false before the first
// version.
func (s *Service) Current() (version int64, document []byte, ok bool) {
	v := s.current.Load()
	if v == nil {
		return 0, nil, false
	}
	return v.version, v.document, true
}

// storeIfNewer puts a valid document into effect at this host if it is newer.
func (s *Service) storeIfNewer(version int64, raw []byte, d *config.Document, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Holder.StoreIfNewer(config.NewSnapshot(version, d)) {
		return
	}
	s.current.Store(&versionedDocument{version: version, document: raw})
	s.Metrics.Gauge("version").Update(float64(version))
	s.Metrics.Tagged(map[string]string{"source": source}).Counter("swaps").Inc(1)
	s.Logger.Info("Version took effect.", "version", version, "source", source)
}

// version returns the version in effect at this host; zero means none.
func (s *Service) version() int64 {
	v, _, _ := s.Current()
	return v
}
