// Package orders sends targets the orders that bring them to the state that the
// configuration specifies. One host is the lease holder of a target. It reads the
// target's status and repeats orders until the target reports the desired state. A
// late order of a former lease holder is therefore undone even at a target that does
// not check fencing numbers.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	core "yuccausher/internal/core/orders"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// Params are the dependencies and settings of a Service.
type Params struct {
	Self     port.Host
	Log      port.Log
	Engine   port.Engine
	Members  port.Members
	Holder   *config.Holder
	Metrics  tally.Scope
	Logger   logr.Logger
	Settings Settings
}

// Settings are the intervals and time limits of a Service. Zero values are replaced by
// defaults.
type Settings struct {
	Rules core.Rules
	// Interval is the time between searches for targets whose check is due. It is also
	// the time between steps of a target that needs orders.
	Interval time.Duration
	// AssertInterval is the time between checks of a target that needs no orders or is
	// not available.
	AssertInterval time.Duration
	// RepeatInterval is the time after which an order is repeated that the target
	// accepted but does not report yet. Orders that fetch weights are repeated after
	// Rules.LoadTimeout, or when the target has restarted.
	RepeatInterval time.Duration
	// CallTimeout bounds one call to a target or to the log.
	CallTimeout time.Duration
	// ReadWait is how long one read of the log waits for new records.
	ReadWait time.Duration
	// MinRetryDelay and MaxRetryDelay bound the pause after a failed read.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
}

const (
	defaultInterval       = 500 * time.Millisecond
	defaultAssertInterval = 5 * time.Second
	defaultRepeatInterval = 5 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultReadWait       = 5 * time.Second
	defaultMinRetryDelay  = 100 * time.Millisecond
	defaultMaxRetryDelay  = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Rules == (core.Rules{}) {
		s.Rules = core.Defaults()
	}
	orDefault(&s.Interval, defaultInterval)
	orDefault(&s.AssertInterval, defaultAssertInterval)
	orDefault(&s.RepeatInterval, defaultRepeatInterval)
	orDefault(&s.CallTimeout, defaultCallTimeout)
	orDefault(&s.ReadWait, defaultReadWait)
	orDefault(&s.MinRetryDelay, defaultMinRetryDelay)
	orDefault(&s.MaxRetryDelay, defaultMaxRetryDelay)
	return s
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Service sends orders to the targets of which this host is the preferred host.
type Service struct {
	Params
	self core.Holder

	// mu guards ledger and targets; it is never held across I/O.
	mu     sync.Mutex
	ledger *core.Ledger
	// targets holds the state of the targets that this host handles, by name.
	targets map[string]*targetState

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// targetState is what this host keeps about one of its targets.
type targetState struct {
	busy bool
	// nextCheck is the earliest time of the next check.
	nextCheck time.Time
	// lastOrder is the latest order that the target accepted and does not report yet,
	// with the time and the incarnation of the target at that time.
	lastOrder       port.Order
	lastOrderAt     time.Time
	lastIncarnation uint64
}

// New returns a service that is not yet started.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	p.Logger = p.Logger.WithName("orders")
	p.Metrics = p.Metrics.SubScope("orders")
	return &Service{
		Params:  p,
		self:    core.Holder{Host: p.Self.ID, Incarnation: p.Self.Incarnation},
		ledger:  core.NewLedger(),
		targets: make(map[string]*targetState),
	}
}

// Start starts following the stream and checking targets, and returns immediately.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.tail(ctx) })
	s.tasks.Go(func() { s.runChecks(ctx) })
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

func (s *Service) tail(ctx context.Context) {
	tail.Run(ctx, tail.Params{
		Log:           s.Log,
		Stream:        core.Stream,
		NextOffset:    s.nextOffset,
		OnPage:        s.applyPage,
		OnError:       func(error) { s.Metrics.Counter("log_read_failures").Inc(1) },
		ReadWait:      s.Settings.ReadWait,
		MinRetryDelay: s.Settings.MinRetryDelay,
		MaxRetryDelay: s.Settings.MaxRetryDelay,
	})
}

func (s *Service) nextOffset() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Next()
}

func (s *Service) applyPage(page port.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetOldest(page.Oldest)
	for _, r := range page.Records {
		if err := s.ledger.Apply(r.Offset, r.Data, time.Now()); err != nil {
			s.Metrics.Counter("records_skipped").Inc(1)
			s.Logger.Info("Invalid record skipped.", "offset", r.Offset, "reason", err.Error())
		}
	}
}
