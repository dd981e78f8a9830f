// Package orders gives targets the orders that bring them to what the
// configuration wants. One host is the steward of a target; it reads what the
// target shows and repeats orders until the target shows what is wanted, so
// that a late order of an earlier steward is undone even at a target that does
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

// Params are what a Service needs.
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

// Settings are the times of a Service.
type Settings struct {
	Rules core.Rules
	// Interval is the time between looks at the targets of this host.
	Interval time.Duration
	// AssertInterval is the time between looks at one target that shows what
	// is wanted.
	AssertInterval time.Duration
	// RepeatInterval is the time after which an order that the target took but
	// does not show is given again. Orders that fetch weights are repeated
	// after Rules.LoadTimeout, or when the target has restarted.
	RepeatInterval time.Duration
	// CallTimeout bounds a call of a target or the log.
	CallTimeout time.Duration
	// ReadWait is how long one read of the log waits for new records.
	ReadWait time.Duration
	// RetryLeast and RetryMost bound the pause after a failed read.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
}

const (
	defaultInterval       = 500 * time.Millisecond
	defaultAssertInterval = 5 * time.Second
	defaultRepeatInterval = 5 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultReadWait       = 5 * time.Second
	defaultRetryLeast     = 100 * time.Millisecond
	defaultRetryMost      = 2 * time.Second
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
	orDefault(&s.MinRetryDelay, defaultRetryLeast)
	orDefault(&s.MaxRetryDelay, defaultRetryMost)
	return s
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Service is the steward of the targets for which this host comes first.
type Service struct {
	Params
	self core.Holder

	// mu guards ledger and watched; it is never held across I/O.
	mu     sync.Mutex
	ledger *core.Ledger
	// watched holds the targets of this host.
	watched map[string]*watch

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// watch is what this host remembers of one of its targets.
type watch struct {
	busy bool
	// next is when the target is looked at again.
	next time.Time
	// last is the latest order that the target took and has not shown yet,
	// with the time and the incarnation of the target.
	last            port.Order
	lastAt          time.Time
	lastIncarnation uint64
}

// New returns a service that is not yet started. Settings that are zero get
// their defaults.
func New(p Params) *Service {
	p.Settings = p.Settings.withDefaults()
	p.Logger = p.Logger.WithName("orders")
	p.Metrics = p.Metrics.SubScope("orders")
	return &Service{
		Params:  p,
		self:    core.Holder{Host: p.Self.ID, Incarnation: p.Self.Incarnation},
		ledger:  core.NewLedger(),
		watched: make(map[string]*watch),
	}
}

// Start begins to tail the stream and to look at targets. It returns at once.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.tail(ctx) })
	s.tasks.Go(func() { s.look(ctx) })
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

func (s *Service) tail(ctx context.Context) {
	tail.Run(ctx, tail.Params{
		Log:           s.Log,
		Stream:        core.Stream,
		NextOffset:    s.next,
		OnPage:        s.take,
		OnError:       func(error) { s.Metrics.Counter("log_read_failures").Inc(1) },
		ReadWait:      s.Settings.ReadWait,
		MinRetryDelay: s.Settings.MinRetryDelay,
		MaxRetryDelay: s.Settings.MaxRetryDelay,
	})
}

func (s *Service) next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Next()
}

func (s *Service) take(page port.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetOldest(page.Oldest)
	for _, r := range page.Records {
		if err := s.ledger.Apply(r.Offset, r.Data, time.Now()); err != nil {
			s.Metrics.Counter("records_skipped").Inc(1)
			s.Logger.Info("record skipped", "offset", r.Offset, "reason", err.Error())
		}
	}
}
