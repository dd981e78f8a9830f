// Package quarantine keeps content that crashes targets from reaching further targets,
// on all hosts. A request that a target did not answer in full leaves a crash mark on
// its content if the target does not accept a connection afterwards, or if another one
// has started in its place. Hosts share their marks; core/poison counts them.
package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/handover"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

const (
	// maxCrashes is how many targets a content may crash, over all hosts. The users'
	// rules count repeats from the third crash on. Two would not be enough where
	// targets crash one after the other for another reason: the same turn may meet both
	// by chance.
	maxCrashes = 3
	// maxRestartTime is the longest time between the crash of a target and the start of
	// its next run for which a probe may have met the next run. Clocks of targets and
	// hosts differ by less.
	maxRestartTime = time.Second
	// maxLatestRuns limits the addresses and IDs whose latest run is kept. Each target
	// needs two; the limit is several times the need of a large site.
	maxLatestRuns = 8192
	// maxUnshared limits the marks that wait to be shared while the log is unavailable.
	maxUnshared = 4096
	// maxLoggedContents limits the contents that a log line lists. It is more than a
	// current engine runs at once.
	maxLoggedContents = 16
	// maxSeenMarks limits the marks that are remembered as already counted: those of
	// all hosts of a large site within the lifetime of a mark.
	maxSeenMarks = 8192
)

// Params are the dependencies of a service.
type Params struct {
	// Probe returns nil if the target accepts connections, and the cause otherwise. It returns
	// an *InconclusiveError if this host can't tell.
	Probe func(context.Context, upstream.Target) error
	// Peers are asked where this host can't tell; nil if there are no other hosts.
	Peers  Peers
	Logger logr.Logger
	Scope  tally.Scope
}

// InconclusiveError reports that a target accepted no connection from a host that reaches no other
// target either. It does not show that the target has crashed.
type InconclusiveError struct{ Cause error }

// Error implements error.
func (e *InconclusiveError) Error() string { return "no target is reached: " + e.Cause.Error() }

// Service finds content that crashes targets. It is safe for concurrent use.
type Service struct {
	probe   func(context.Context, upstream.Target) error
	peers   Peers
	log     logr.Logger
	metrics metrics
	changed chan struct{}
	// suspects and quarantined are the numbers of such features. They let requests skip the
	// lock while both are zero.
	suspects, quarantined atomic.Int64
	// unsettled is the number of interruptions at targets that may have crashed. It lets
	// requests skip the lock while it is zero.
	unsettled atomic.Int64

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	evidence *poison.Evidence
	// interruptions are the recent interruptions by target.
	interruptions map[upstream.Target][]interruption
	// prunedAt is when old interruptions were last removed.
	prunedAt time.Time
	// latestRuns contains the latest run by address and by ID.
	latestRuns *lru.Cache[string, upstream.Target]
	// settling contains the targets that are examined until their interruptions are settled.
	settling map[upstream.Target]bool
	// choice decides which host is asked next.
	choice *handover.Peers
	// seen contains the marks that have been counted. They must not be counted again
	// after a full answer has cleared their content.
	seen *lru.Cache[poison.Mark, struct{}]
	// cleared are marks that this host is to remove from the shared log, the oldest
	// first.
	cleared []poison.Mark
	// unshared are this host's marks that are not in the shared log, the oldest first.
	unshared []poison.Mark
	// relayed are marks of other hosts that this one is to write to the shared log.
	relayed []poison.Mark
}

type metrics struct {
	scope                         tally.Scope
	crashes, quarantined, cleared tally.Counter
	// removed counts marks that were removed from the shared log.
	removed tally.Counter
	// repeated counts marks that were not counted because they were known.
	repeated tally.Counter
	// expired counts interruptions that were forgotten while it was not known whether their
	// targets had crashed.
	expired tally.Counter
	// unsettled is the number of interruptions at targets that may have crashed.
	unsettled tally.Gauge
	// receivedAge is the age of marks of other hosts on arrival.
	receivedAge tally.Histogram
}

// ageBuckets are the bucket limits of receivedAge.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:       scope,
		crashes:     scope.Counter("crashes"),
		quarantined: scope.Counter("contents"),
		cleared:     scope.Counter("cleared"),
		removed:     scope.Counter("removed"),
		repeated:    scope.Counter("repeated"),
		expired:     scope.Counter("expired"),
		unsettled:   scope.Gauge("unsettled"),
		receivedAge: scope.Histogram("learned_age", ageBuckets),
	}
}

// countProbe counts a probe by its result.
func (m metrics) countProbe(finding string) {
	m.scope.Tagged(map[string]string{"finding": finding}).Counter("looks").Inc(1)
}

// New returns a service. It runs no background work until the first interruption.
func New(p Params) *Service {
	// New only fails for sizes that are not positive.
	seen, _ := lru.New[poison.Mark, struct{}](maxSeenMarks)
	latest, _ := lru.New[string, upstream.Target](maxLatestRuns)
	ctx, stop := context.WithCancel(context.Background())
	if p.Peers == nil {
		p.Peers = noPeers{}
	}
	return &Service{
		probe:         p.Probe,
		peers:         p.Peers,
		log:           p.Logger.WithName("quarantine"),
		metrics:       newMetrics(p.Scope.SubScope("quarantine")),
		changed:       make(chan struct{}, 1),
		ctx:           ctx,
		stop:          stop,
		evidence:      poison.NewEvidence(maxCrashes),
		seen:          seen,
		interruptions: make(map[upstream.Target][]interruption),

		latestRuns: latest,
		settling:   make(map[upstream.Target]bool),
		choice:     handover.NewPeers(rand.IntN),
	}
}

// Stop cancels the running probes and waits for them to end.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stop() // startSettling starts nothing after this
	s.mu.Unlock()
	s.done.Wait()
	return nil
}

// IsQuarantined reports whether content is quarantined. It calls fingerprint only while some
// content is.
func (s *Service) IsQuarantined(fingerprint func() uint64) bool {
	if s.quarantined.Load() == 0 {
		return false
	}
	f := fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Verdict(f) == poison.Quarantined
}

// without returns list without the marks in removed.
func without(list, removed []poison.Mark) []poison.Mark {
	return slices.DeleteFunc(list, func(m poison.Mark) bool { return slices.Contains(removed, m) })
}

// Remove removes marks of a feature that are no longer in the shared log.
func (s *Service) Remove(fingerprint uint64, isRemoved func(poison.Mark) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.evidence.Verdict(fingerprint)
	removed := s.evidence.Remove(fingerprint, isRemoved)
	if removed == 0 {
		return
	}
	s.metrics.removed.Inc(int64(removed))
	s.assess(sharedLog)
	s.log.Info("Crash marks were removed from the shared log.", "content", formatFingerprint(fingerprint), "count", removed,
		"was_quarantined", before == poison.Quarantined, "is_quarantined", s.evidence.Verdict(fingerprint) == poison.Quarantined)
}

// localHost is the value of the host key in log lines about this host's own marks.
const localHost = "own"

// formatFingerprint returns a fingerprint as logs show it.
func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// formatFingerprints returns the first maxLoggedContents fingerprints as logs show
// them.
func formatFingerprints(contents []uint64) []string {
	list := make([]string, 0, maxLoggedContents)
	for _, f := range contents[:min(len(contents), maxLoggedContents)] {
		list = append(list, formatFingerprint(f))
	}
	return list
}

// addMark counts a mark unless it has been counted before. The caller holds the lock, and calls
// assess after the last mark.
func (s *Service) addMark(m poison.Mark, host string) {
	if isKnown, _ := s.seen.ContainsOrAdd(m.CrashKey(), struct{}{}); isKnown {
		s.metrics.repeated.Inc(1)
		if host == localHost {
			s.log.Info("Crash was not counted; one of the same content at this run of the target was counted before.",
				"content", formatFingerprint(m.Fingerprint), "target", m.Target, "started_at", m.Run)
		}
		return
	}
	if age := time.Since(time.Unix(0, m.At)); host != localHost {
		s.metrics.receivedAge.RecordDuration(age)
		s.log.Info("Crash mark was received.", "content", formatFingerprint(m.Fingerprint), "feature", m.Kind.String(), "target", m.Target, "host", host, "age_ms", age.Milliseconds())
	}
	s.evidence.Add(m)
}

// Changed returns a channel that signals new marks to share.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Unshared returns the marks of this host that are not in the shared log.
func (s *Service) Unshared() []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unshared)
}

// Relayed returns the marks of other hosts that this one is to write to the shared log.
func (s *Service) Relayed() []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.relayed)
}

// ConfirmShared removes marks that are in the shared log from Unshared and Relayed.
func (s *Service) ConfirmShared(marks []poison.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unshared = without(s.unshared, marks)
	s.relayed = without(s.relayed, marks)
}

// Cleared returns marks that this host is to remove from the shared log.
func (s *Service) Cleared() []poison.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.cleared)
}

// ConfirmCleared removes marks that are no longer in the shared log from Cleared.
func (s *Service) ConfirmCleared(marks []poison.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleared = without(s.cleared, marks)
}

// Relay adds marks of another host that can't reach the shared log, and schedules them
// to be written.
func (s *Service) Relay(host string, marks []poison.Mark) {
	s.Receive(host, marks)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed = s.dropOldest(append(s.relayed, marks...))
	s.signal()
}

// Receive adds marks of another host.
func (s *Service) Receive(host string, marks []poison.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range marks {
		s.addMark(m, host)
	}
	s.assess(host)
}
