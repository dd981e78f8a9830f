// Package spending keeps programs within their budgets across all hosts. A
// slice of a program's budget is claimed in the shared log before its first turn,
// by the home of the program's partition if that can be asked, and spent without
// further calls; internal/core/budget decides which claims hold. While the log is
// away, hosts lend to each other.
package spending

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// topic holds the claims.
	topic = "spending"
	// startReads is how many partitions a host reads for the first time at once.
	startReads = 2
	// maxPatience is the longest wait for a claim: two calls to a store that is
	// 60 times slower than usual, and settleTime.
	maxPatience = 1200 * time.Millisecond
	// awayPoll is how often a turn that waits looks whether the log is away, so
	// that other hosts are asked.
	awayPoll = 50 * time.Millisecond
	// unknownRetry is when callers may come back while the store is away.
	unknownRetry = 100 * time.Millisecond
	// sweepInterval is how often unused parts of slices are looked for.
	sweepInterval = 150 * time.Millisecond
	// idleAfter is when the unused part of a slice is given back: a turn that
	// follows another at the same host mostly comes sooner.
	idleAfter = 250 * time.Millisecond
	// settleTime is how long a turn whose claim was refused waits for other
	// hosts to give back what they don't use.
	settleTime = idleAfter + 2*sweepInterval
	// stoppedFor is how long a program whose budget is spent is refused without
	// another look at the log.
	stoppedFor = time.Second
	// forgetAfter is when a host forgets its slice of a silent program.
	forgetAfter = 90 * time.Second
	// minMemory is the shortest time for which spent budgets are remembered: a
	// stopped program may come back after a minute.
	minMemory = 5 * time.Minute
)

// Params are what a service is built from.
type Params struct {
	Log port.SharedLog
	// Partitions is how many partitions of the log carry the claims. All hosts
	// must agree on it.
	Partitions int
	// Lenders are the other hosts, asked while this one does not reach the log.
	Peers     port.BudgetPeers
	Retention time.Duration
	Logger    logr.Logger
	Scope     tally.Scope
}

// Service reserves tokens of programs' budgets. It implements gateway.Budgets.
type Service struct {
	writer  uint64
	ledgers []*ledger
	// orders begin with each partition's home, then come those that take its place.
	orders    rendezvous.PartitionCache
	retention time.Duration
	log       logr.Logger
	metrics   *metrics
	lenders   port.BudgetPeers
	lending   lending
	shuns     shuns
	pauses    pauses
	// answeredAt is when the log has last answered.
	answeredAt atomic.Int64
	// suspectedAt is when a late read has last made the host probe the log.
	suspectedAt atomic.Int64
	// ctx ends with the service.
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

var _ gateway.Budgets = (*Service)(nil)

// New returns a service that writes under a new name.
func New(p Params) *Service {
	s := &Service{writer: rand.Uint64(), retention: p.Retention, log: p.Logger.WithName("spending"), lenders: p.Peers}
	s.metrics = newMetrics(p.Scope.SubScope("spending"))
	starting := make(chan struct{}, startReads)
	for part := range p.Partitions {
		l := newLedger(p.Log, port.Partition{Topic: topic, Part: part}, s.writer, s.log, s.metrics, starting)
		l.isHome = func() bool {
			_, isOther := s.homeOf(part)
			return !isOther
		}
		l.isReader = func() bool { return s.isReader(part) }
		l.reach.answered = func() { s.answeredAt.Store(time.Now().UnixNano()) }
		l.reach.late = func() { s.suspectLate(part) }
		l.reach.lost = func() { s.suspectOthers(part) }
		l.reach.isFollower = func() bool { return s.isFollower(part) }
		l.reach.returned = func() {
			l.settleLoans()
			s.hastenOthers(part)
		}
		l.onTight = func(n port.BudgetNote) { s.tell(n, announcedAt) }
		s.ledgers = append(s.ledgers, l)
	}
	return s
}

// use returns the ledger of a partition, which works from its first use on.
func (s *Service) use(part int) *ledger {
	l := s.ledgers[part]
	l.starts.Do(func() {
		if s.isAway() {
			l.reach.presume()
		}
		l.isUsed.Store(true)
		s.done.Go(func() { l.reach.watch(s.ctx, l.probe) })
		s.done.Go(func() { l.readAll(s.ctx) })
		s.done.Go(func() { l.run(s.ctx) })
		s.done.Go(func() { l.keepLoans(s.ctx) })
	})
	return l
}

// Start starts to follow the log.
func (s *Service) Start(context.Context) error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.log.Info("Spending is up.", "writer", s.writer, "partitions", len(s.ledgers))
	s.done.Go(func() { s.readParts(s.ctx) })
	s.done.Go(func() { s.sweep(s.ctx) })
	return nil
}

// Stop ends the writers. What the host holds stays claimed.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

func (s *Service) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if s.pauses.beat(now) {
				s.forgetReads()
			}
			for _, l := range s.ledgers {
				l.sweep(now, s.retention)
			}
		}
	}
}

// IsIsolated says whether this host reaches neither the log nor another host.
func (s *Service) IsIsolated() bool {
	if !s.lending.isolated.Load() {
		return false
	}
	for _, l := range s.ledgers {
		if l.isAway() {
			return true
		}
	}
	s.lending.isolated.Store(false)
	return false
}

// Reserve implements gateway.Budgets.
func (s *Service) Reserve(ctx context.Context, program string, total, most int64) (gateway.Reservation, error) {
	l := s.ledger(program)
	if g, err, ok := l.decideAlone(program, total, most); ok {
		return g, err
	}
	request := func() port.LendRequest {
		return port.LendRequest{Program: program, Budget: total, MaxTokens: most, Claimed: l.claimed(program), Loans: l.loansOf(program)}
	}
	claimCtx, cancel := context.WithTimeout(ctx, maxPatience)
	defer cancel()
	g, err, ok := s.reserveAtHome(claimCtx, l, request())
	if !ok {
		g, err = s.use(s.part(program)).reserve(claimCtx, program, total, most)
	}
	var unknown *gateway.BudgetUnknownError
	if err == nil || !errors.As(err, &unknown) || ctx.Err() != nil {
		return g, err
	}
	return s.borrow(ctx, l, request(), err)
}

// ledger returns the ledger that holds a program's claims. It need not have
// been used before.
func (s *Service) ledger(program string) *ledger { return s.ledgers[s.part(program)] }

func unknownBudget(program string, cause error) error {
	return &gateway.BudgetUnknownError{Program: program, RetryAfter: unknownRetry, Cause: errors.Trace(cause)}
}
