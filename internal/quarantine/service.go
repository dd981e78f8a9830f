// Package quarantine keeps content that crashes the targets that run it away from
// further targets, on all hosts together. A request that got no whole answer from a
// target leaves a mark on its content if the target takes no connection afterwards, or
// if another has begun to run in its place. Hosts share their marks; core/poison counts
// them.
package quarantine

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

const (
	// maxCrashes is how many targets a content may crash over all hosts. The
	// users' rules count repeats from the third crash on. Two are not enough
	// where targets fall in turn: a turn may meet both by chance.
	maxCrashes = 3
	// confirmAfter is when a target whose request broke off is looked for: a
	// process that ends has closed its port by then.
	confirmAfter = 50 * time.Millisecond
	// confirmTimeout bounds the look.
	confirmTimeout = time.Second
	// firstTimeout bounds a look that a request waits for. A port that is closed
	// refuses at once.
	firstTimeout = 50 * time.Millisecond
	// breakLife is for how long an answer that broke off may still turn out to have
	// done so because its target ended: until a target that starts anew has told of
	// itself, also some seconds late.
	breakLife = 10 * time.Second
	// maxBreaks bounds the answers that broke off at one target within that time.
	maxBreaks = 256
	// maxLatest bounds the addresses and IDs of which the latest run is remembered: two
	// for each target of a large site, several times over.
	maxLatest = 8192
	// maxUnshared bounds the marks that wait to be shared while the log is away.
	maxUnshared = 4096
	// maxNamed bounds the contents that a line of the log names: more than an engine
	// of today runs at once.
	maxNamed = 16
	// maxSeen bounds the marks that are known to have been taken: those of all
	// hosts of a large site in one life of a mark.
	maxSeen = 8192
)

// Params are what a service is built from.
type Params struct {
	// Probe says whether a target takes connections.
	Probe  func(context.Context, upstream.Target) error
	Logger logr.Logger
	Scope  tally.Scope
}

// Service finds content that crashes targets. It is safe for concurrent use.
type Service struct {
	probe   func(context.Context, upstream.Target) error
	log     logr.Logger
	metrics metrics
	changed chan struct{}
	// suspects and held are the lengths of the registry, so that requests need
	// not look while both are zero.
	suspects, held atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	registry *poison.Registry
	// breaks holds the answers that broke off at targets lately.
	breaks map[upstream.Target][]breakOff
	// breaksPrunedAt is when old ones were last dropped.
	breaksPrunedAt time.Time
	// latest holds the latest run by address and by ID.
	latest *lru.Cache[string, upstream.Target]
	// isLookedFor names the targets that are being looked for.
	isLookedFor map[upstream.Target]bool
	// seen are marks that were taken before: a whole answer may have cleared their
	// content since.
	seen *lru.Cache[poison.Mark, struct{}]
	// unshared are the marks that other hosts have not been told of, the oldest first.
	unshared []poison.Mark
	// relayed are marks of other hosts that this one is to write to the shared log.
	relayed []poison.Mark
}

type metrics struct {
	scope                         tally.Scope
	crashes, quarantined, cleared tally.Counter
	// learned is how old the marks of other hosts are when they come.
	learned tally.Histogram
}

// ageBuckets bound the age of marks that come from other hosts.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:       scope,
		crashes:     scope.Counter("crashes"),
		quarantined: scope.Counter("contents"),
		cleared:     scope.Counter("cleared"),
		learned:     scope.Histogram("learned_age", ageBuckets),
	}
}

// looked counts a look for a target by what it found.
func (m metrics) looked(finding string) {
	m.scope.Tagged(map[string]string{"finding": finding}).Counter("looks").Inc(1)
}

// New returns a service.
func New(p Params) *Service {
	// The sizes are valid ones, so that there is no error.
	seen, _ := lru.New[poison.Mark, struct{}](maxSeen)
	latest, _ := lru.New[string, upstream.Target](maxLatest)
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		probe:    p.Probe,
		log:      p.Logger.WithName("quarantine"),
		metrics:  newMetrics(p.Scope.SubScope("quarantine")),
		changed:  make(chan struct{}, 1),
		ctx:      ctx,
		stop:     stop,
		registry: poison.NewRegistry(maxCrashes),
		seen:     seen,
		breaks:   make(map[upstream.Target][]breakOff),

		latest:      latest,
		isLookedFor: make(map[upstream.Target]bool),
	}
}

// Stop ends the looks for targets.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stop() // no look begins from here on
	s.mu.Unlock()
	s.done.Wait()
	return nil
}

// Holds says whether content is in quarantine. fingerprint is only called while
// some content is.
func (s *Service) IsQuarantined(fingerprint func() uint64) bool {
	if s.held.Load() == 0 {
		return false
	}
	f := fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Verdict(f) == poison.Quarantined
}

// Answered clears content of suspicion. fingerprint is only called while some
// content is suspect.
func (s *Service) RecordSuccess(fingerprint func() uint64, target string) {
	if s.suspects.Load() == 0 {
		return
	}
	f := fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	if marks := s.registry.Clear(f); marks > 0 {
		s.metrics.cleared.Inc(1)
		s.log.Info("Content is cleared by a whole answer.", "content", name(f), "target", target, "crashes", marks)
	}
	s.count()
}

// ownHost is how logs name this host.
const ownHost = "own"

// name is how logs show a fingerprint.
func name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// names returns the names of the first few contents.
func names(contents []uint64) []string {
	list := make([]string, 0, maxNamed)
	for _, f := range contents[:min(len(contents), maxNamed)] {
		list = append(list, name(f))
	}
	return list
}

// mark takes a mark, once. The caller has the lock.
func (s *Service) mark(m poison.Mark, host string) {
	if isKnown, _ := s.seen.ContainsOrAdd(m.CrashKey(), struct{}{}); isKnown {
		return
	}
	if age := time.Since(time.Unix(0, m.At)); host != ownHost {
		s.metrics.learned.RecordDuration(age)
		s.log.Info("Crash is learned.", "content", name(m.Fingerprint), "target", m.Target, "host", host, "age_ms", age.Milliseconds())
	}
	if s.registry.RecordCrash(m) {
		s.metrics.quarantined.Inc(1)
		s.log.Info("Content is quarantined.", "content", name(m.Fingerprint), "target", m.Target, "host", host, "crashes", maxCrashes)
	}
	s.count()
}

// count takes the lengths of the registry. The caller has the lock.
func (s *Service) count() {
	suspects, held := s.registry.Len()
	s.suspects.Store(int64(suspects))
	s.held.Store(int64(held))
}

// Changed tells that there are new marks to share.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Unshared returns the marks of this host that others have not been told of.
func (s *Service) Unshared() []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unshared)
}

// Relayed returns the marks of other hosts that are to be written to the shared log.
func (s *Service) Relayed() []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.relayed)
}

// Shared notes that marks are in the shared log.
func (s *Service) ConfirmShared(marks []poison.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isShared := func(m poison.Mark) bool { return slices.Contains(marks, m) }
	s.unshared = slices.DeleteFunc(s.unshared, isShared)
	s.relayed = slices.DeleteFunc(s.relayed, isShared)
}

// Relay takes marks of another host that does not reach the shared log.
func (s *Service) Relay(host string, marks []poison.Mark) {
	s.Receive(host, marks)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = s.bounded(append(s.relayed, marks...))
	s.signal()
}

// Learn takes the marks that another host has made.
func (s *Service) Receive(host string, marks []poison.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range marks {
		s.mark(m, host)
	}
}
