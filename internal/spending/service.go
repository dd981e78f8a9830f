// Package spending keeps programs within their budgets across all hosts. Before the
// first turn of a program, a slice of its budget is claimed in the shared log, by the
// preferred host of the program's partition if it answers. Turns then spend the slice
// without further calls. Package budget in internal/core decides which claims are
// accepted. While the log is unavailable, hosts lend to each other.
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
	// topic is the topic of the log that holds the claims.
	topic = "spending"
	// maxInitialReads is how many partitions a host reads for the first time at once.
	maxInitialReads = 2
	// maxClaimWait is the longest wait for a claim: two calls to a store that is 60
	// times slower than usual, and refusedRetryDelay.
	maxClaimWait = 1200 * time.Millisecond
	// unavailablePollInterval is how often a waiting turn checks whether the log has
	// become unavailable, so that other hosts are asked instead.
	unavailablePollInterval = 50 * time.Millisecond
	// unknownRetryAfter is when callers may retry while the store is unavailable.
	unknownRetryAfter = 100 * time.Millisecond
	// overloadTTL is how long a log counts as overloaded after it has made this host call it less
	// often: the time in which the rate of the host grows again by a share.
	overloadTTL = time.Second
	// sweepInterval is how often the host looks for unused parts of slices.
	sweepInterval = 150 * time.Millisecond
	// sliceIdleTimeout is the idle time after which the unused part of a slice is
	// given back. Most turns that follow another one at the same host come sooner.
	sliceIdleTimeout = 250 * time.Millisecond
	// refusedRetryDelay is how long a turn whose claim was refused waits for other
	// hosts to give back the unused parts of their slices.
	refusedRetryDelay = sliceIdleTimeout + 2*sweepInterval
	// stoppedTTL is how long the turns of a program with a spent budget are refused
	// without a further claim.
	stoppedTTL = time.Second
	// sliceTTL is the idle time after which a host drops its slice of a program.
	sliceTTL = 90 * time.Second
	// minRetention is the minimum time for which spent budgets are remembered: a
	// stopped program may come back after a minute.
	minRetention = 5 * time.Minute
)

// Params are the parameters of a Service.
type Params struct {
	// Log holds the claims.
	Log port.SharedLog
	// LogAnsweredAt returns when the log last answered any call of this host.
	LogAnsweredAt func() time.Time
	// Partitions is the number of partitions of the log that carry claims. All hosts
	// must agree on it.
	Partitions int
	// Peers are the other hosts. They are asked for tokens first if they are the
	// preferred host, and while this host does not reach the log. Nil without other
	// hosts.
	Peers port.BudgetPeers
	// CarriesPrograms reports whether requests of programs may come. If not, partitions that
	// nobody claims in are not marked. Nil means that they may.
	CarriesPrograms func() bool
	// Retention is how long claims are kept in memory, at least minRetention.
	Retention time.Duration
	Logger    logr.Logger
	Scope     tally.Scope
}

// Service reserves tokens of programs' budgets. It implements gateway.Budgets.
type Service struct {
	// writer names this run of the host's process in claims.
	writer uint64
	// startedAt is when this run began to serve.
	startedAt time.Time
	ledgers   []*ledger
	// orders holds the order of hosts for each partition: the preferred host, then
	// those that replace it.
	orders    rendezvous.PartitionCache
	retention time.Duration
	// carriesPrograms reports whether requests of programs may come.
	carriesPrograms func() bool
	// logAnsweredAt returns when the log last answered any call of this host; the zero time if it has not.
	logAnsweredAt func() time.Time
	log           logr.Logger
	metrics       *metrics
	peers         port.BudgetPeers
	lending       lending
	exclusions    exclusions
	missed        missedNotes
	pauses        pauseDetector
	// rolesAt is when this host last looked for its place in the orders. Only sweep uses it.
	rolesAt time.Time
	// answeredAt is when the log last answered, in Unix nanoseconds.
	answeredAt atomic.Int64
	// throttledAt is when the log last made this host call it less often, in Unix nanoseconds.
	throttledAt atomic.Int64
	// suspectedAt is when a slow read last made the host probe the log, in Unix
	// nanoseconds.
	suspectedAt atomic.Int64
	// ctx ends when the service stops.
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
	// running guards hasStopped and the start of further goroutines.
	running    sync.Mutex
	hasStopped bool
}

var _ gateway.Budgets = (*Service)(nil)

// New returns a service that claims under a new, random writer name.
func New(p Params) *Service {
	s := &Service{writer: rand.Uint64(), retention: p.Retention, log: p.Logger.WithName("spending"), peers: p.Peers}
	if s.carriesPrograms = p.CarriesPrograms; s.carriesPrograms == nil {
		s.carriesPrograms = func() bool { return true }
	}
	s.logAnsweredAt = p.LogAnsweredAt
	s.metrics = newMetrics(p.Scope.SubScope("spending"))
	initialReadSlots := make(chan struct{}, maxInitialReads)
	for part := range p.Partitions {
		l := newLedger(p.Log, port.Partition{Topic: topic, Part: part}, s.writer, s.log, s.metrics, initialReadSlots)
		l.isPreferredHost = func() bool {
			_, isOther := s.preferredHost(part)
			return !isOther
		}
		l.onThrottled = func() { s.throttledAt.Store(time.Now().UnixNano()) }
		l.isOverloaded = func() bool { return time.Since(time.Unix(0, s.throttledAt.Load())) < overloadTTL }
		l.isReader = func() bool { return s.isReader(part) }
		l.availability.onAnswer = func() { s.answeredAt.Store(time.Now().UnixNano()) }
		l.availability.hasAnsweredSince = func(t time.Time) bool { return p.LogAnsweredAt().After(t) }
		l.availability.onSlowRead = func() { s.suspectAfterSlowRead(part) }
		l.availability.onUnavailable = func() {
			l.unfence()
			s.suspectOthers(part)
		}
		l.fenceLenders = func(ctx context.Context) fenceResult { return s.fenceLenders(ctx, l) }
		l.learnLoans = func(ctx context.Context) bool { return s.learnLoans(ctx, l) }
		l.logUnavailableSince = s.unavailableSince
		l.availability.isProbeDelegated = func() bool { return s.isProbeDelegated(part) }
		l.availability.onRecovered = func() {
			l.claimOwnLoans()
			s.probeOthersSoon(part)
		}
		l.onNearlyClaimed = func(n port.BudgetNote) { s.notify(n, nearlyClaimedReceivers) }
		s.ledgers = append(s.ledgers, l)
	}
	return s
}

// startedLedger returns the ledger of a partition and starts it at the first call.
func (s *Service) startedLedger(part int) *ledger {
	l := s.ledgers[part]
	l.startOnce.Do(func() {
		if s.isUnavailable() {
			l.availability.assumeUnavailable()
		}
		l.isStarted.Store(true)
		s.run(func() { l.availability.runProbes(s.ctx, l.probe) })
		s.run(func() { l.runInitialRead(s.ctx) })
		s.run(func() { l.runWriter(s.ctx) })
		s.run(func() { l.runLoanClaims(s.ctx) })
	})
	return l
}

// Start starts the service's goroutines. It returns no error.
func (s *Service) Start(context.Context) error {
	s.startedAt = time.Now()
	for _, l := range s.ledgers {
		l.following = following{startedAt: s.startedAt, since: s.startedAt, retention: max(s.retention, minRetention)}
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.log.Info("Spending service started.", "writer", s.writer, "partitions", len(s.ledgers))
	s.run(func() { s.runReaders(s.ctx) })
	s.run(func() { s.sweep(s.ctx) })
	s.run(func() { s.runMissedNotes(s.ctx) })
	return nil
}

// Stop ends the service and waits for its goroutines. The tokens that the host holds
// stay claimed.
func (s *Service) Stop(context.Context) error {
	s.running.Lock()
	s.hasStopped = true
	s.running.Unlock()
	s.stop()
	s.done.Wait()
	return nil
}

// run calls f in a goroutine that Stop waits for. It does nothing once the service stops, as a
// reservation may end after that.
func (s *Service) run(f func()) {
	s.running.Lock()
	defer s.running.Unlock()
	if !s.hasStopped {
		s.done.Go(f)
	}
}

// sweep calls the ledgers' sweep at intervals and detects pauses of the process,
// until ctx ends.
func (s *Service) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if s.pauses.tick(now) {
				s.invalidateReads()
			}
			s.updateRoles(now)
			carriesPrograms := s.carriesPrograms() && s.peers != nil
			for _, l := range s.ledgers {
				l.sweep(now, s.retention)
				if carriesPrograms {
					l.markIfIdle(ctx, now, s.run)
				}
			}
		}
	}
}

// IsIsolated reports whether this host reaches neither the log nor another host.
func (s *Service) IsIsolated() bool {
	if !s.lending.isIsolated.Load() {
		return false
	}
	for _, l := range s.ledgers {
		if l.isUnavailable() {
			return true
		}
	}
	s.lending.isIsolated.Store(false)
	return false
}

// Reserve reserves maxTokens tokens of a program's budget of total tokens. Its errors are
// *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (s *Service) Reserve(ctx context.Context, program string, total, maxTokens int64) (gateway.Reservation, error) {
	return s.ReservePart(ctx, program, total, maxTokens, maxTokens)
}

// ReservePart reserves maxTokens tokens of a program's budget of total tokens. While the log is
// unavailable it may reserve fewer, but at least minTokens. It implements gateway.Budgets. Its errors
// are *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (s *Service) ReservePart(ctx context.Context, program string, total, minTokens, maxTokens int64) (gateway.Reservation, error) {
	l := s.ledger(program)
	if g, err, ok := l.decideLocally(program, total, maxTokens); ok {
		return g, err
	}
	request := func() port.LendRequest {
		return port.LendRequest{Program: program, Budget: total, MinTokens: minTokens, MaxTokens: maxTokens, Claimed: l.claimed(program), Loans: l.loansOf(program)}
	}
	claimCtx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	g, err, ok := s.reserveAtPreferred(claimCtx, l, request())
	if !ok {
		g, err = s.startedLedger(s.partitionOf(program)).reserve(claimCtx, program, total, maxTokens, 0)
	}
	var unknown *gateway.BudgetUnknownError
	if err == nil || !errors.As(err, &unknown) || ctx.Err() != nil {
		return g, err
	}
	return s.borrow(ctx, l, request(), err)
}

// ledger returns the ledger that holds a program's claims. It may not have been
// started yet.
func (s *Service) ledger(program string) *ledger { return s.ledgers[s.partitionOf(program)] }

func unknownBudget(program string, cause error) error {
	return &gateway.BudgetUnknownError{Program: program, RetryAfter: unknownRetryAfter, Cause: errors.Trace(cause)}
}
