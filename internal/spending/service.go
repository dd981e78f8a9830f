// Package spending keeps programs within their budgets across all hosts. A
// host claims a slice of a program's budget in the shared log before its first
// turn and spends it without further calls; internal/core/budget decides which
// claims hold.
package spending

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// topic holds the claims.
	topic = "spending"
	// suspectPause is the least time between probes because reads are late.
	suspectPause = 2 * time.Second
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
	stoppedFor = 10 * time.Second
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
	Lenders   port.Lenders
	Retention time.Duration
	Logger    logr.Logger
	Scope     tally.Scope
}

// Service reserves tokens of programs' budgets. It implements gateway.Budgets.
type Service struct {
	writer    uint64
	ledgers   []*ledger
	orders    orders
	retention time.Duration
	log       logr.Logger
	metrics   *metrics
	lenders   port.Lenders
	loans     loans
	shuns     shuns
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
	s := &Service{writer: rand.Uint64(), retention: p.Retention, log: p.Logger.WithName("spending"), lenders: p.Lenders}
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

// suspectOthers makes the other partitions probe the log, so that the host
// knows of an outage before turns meet it.
func (s *Service) suspectOthers(away int) {
	for part, l := range s.ledgers {
		if part != away && l.isUsed.Load() {
			l.reach.suspect()
		}
	}
}

// suspectLate makes the other partitions probe the log because a read takes long.
// A log that is slow does not make the host probe again and again.
func (s *Service) suspectLate(late int) {
	now := time.Now().UnixNano()
	last := s.suspectedAt.Load()
	if now-last > int64(suspectPause) && s.suspectedAt.CompareAndSwap(last, now) {
		s.suspectOthers(late)
	}
}

// hastenOthers makes the host probe the partitions that are away, since one has
// returned.
func (s *Service) hastenOthers(returned int) {
	for part, l := range s.ledgers {
		if part != returned {
			l.reach.hasten()
		}
	}
}

// isFollower says whether all partitions are away, as far as is known, and this
// one is not the first of those in use.
func (s *Service) isFollower(part int) bool {
	first := slices.IndexFunc(s.ledgers, func(l *ledger) bool { return l.isUsed.Load() })
	return part != first && s.isAway()
}

// isAway says whether a partition is away and none has answered since.
func (s *Service) isAway() bool {
	answered := s.answeredAt.Load()
	return slices.ContainsFunc(s.ledgers, func(l *ledger) bool {
		since := l.reach.since()
		return !since.IsZero() && since.UnixNano() > answered
	})
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
		case now := <-ticker.C:
			for _, l := range s.ledgers {
				l.sweep(now, s.retention)
			}
		}
	}
}

// IsIsolated says whether this host reaches neither the log nor another host.
func (s *Service) IsIsolated() bool {
	if !s.loans.isolated.Load() {
		return false
	}
	for _, l := range s.ledgers {
		if l.isAway() {
			return true
		}
	}
	s.loans.isolated.Store(false)
	return false
}

// Reserve implements gateway.Budgets.
func (s *Service) Reserve(ctx context.Context, program string, total, most int64) (gateway.Reservation, error) {
	l := s.ledger(program)
	if g, err, ok := l.decideAlone(program, total, most); ok {
		return g, err
	}
	request := func() port.LendRequest {
		return port.LendRequest{Program: program, Budget: total, Most: most, Claimed: l.claimed(program), Loans: l.loansOf(program)}
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
