// Package origin finds out which software version began a stream, so that the stream goes on
// at no other. While one version serves, that follows from the releases in the shared log. While
// several do, each host records the streams that it sends to targets.
package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// topic is the topic of the shared log that holds the starts of streams.
	topic = "streams"
	// maxPartitions is how many partitions of the topic are used. Each lookup reads all.
	maxPartitions = 4
	// minMemory is the minimum time for which a release that has left may have begun a stream
	// that is still taken up. The longest timeout of a route is added.
	minMemory = 30 * time.Second
	// startSlack is how much longer than two of the longest streams a start is kept: callers come
	// back after a fall of all hosts as well.
	startSlack = 8 * time.Second
	// maxOwnStarts and maxReadStarts limit the starts of this host and of all hosts that are
	// kept in memory, about 40 bytes each.
	maxOwnStarts  = 1 << 16
	maxReadStarts = 1 << 18
	// handedOverChange is the first change of a stream at the host that it was handed over to, if
	// the host before has recorded it. It counts more than those of that host.
	handedOverChange = 1 << 16
	// lookupTimeout limits a lookup: two calls to a store that is 60 times slower than usual.
	lookupTimeout = 800 * time.Millisecond
	// unknownRetryAfter is when callers may retry if a record may still be on its way, and
	// unavailableRetryAfter while the store does not answer.
	unknownRetryAfter     = 150 * time.Millisecond
	unavailableRetryAfter = 400 * time.Millisecond
)

// Params are the dependencies and settings of a Service.
type Params struct {
	// Host is the name of this host.
	Host string
	// Log holds the starts of streams, in a topic with Partitions partitions.
	Log        port.SharedLog
	Partitions int
	// Releases holds the releases in use, which PutRelease writes; an empty value removes the
	// key.
	Releases   port.KeyedStream
	PutRelease func(ctx context.Context, key string, value []byte) error
	Fleet      *fleet.Fleet
	// TargetsReadAt returns when the targets were last read; the zero time if never.
	TargetsReadAt func() time.Time
	// LongestStream returns the longest time that a resumable stream may take.
	LongestStream func() time.Duration
	// Hosts returns the number of hosts, this one included. WritesPerSecond is how many calls
	// that write the store accepts from all of them; zero if unknown.
	Hosts           func() int
	WritesPerSecond float64
	Logger          logr.Logger
	Scope           tally.Scope
}

// Service records and looks up the releases that began streams. It implements
// gateway.Origins.
type Service struct {
	params  Params
	log     logr.Logger
	metrics *metrics
	writer  *writer
	reader  *reader
	outage  outage
	wake    chan struct{}
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu sync.Mutex
	// own holds the streams that this host has sent to targets.
	own *origin.Index
	// written holds those of them that were handed to the writer.
	written map[origin.Stream]bool
	// seen holds the releases of the targets as this host sees them. Only the goroutine of
	// run changes it.
	seen *origin.History
	// mixed holds the services whose streams are recorded.
	mixed map[string]bool
	// isListFailing is set while the shared list of releases can't be read or written.
	isListFailing atomic.Bool
	// releaseAnnounced is closed, and replaced, when a release was announced.
	releaseAnnounced chan struct{}
	// releases is the state of run.
	releases releases
}

var _ gateway.Origins = (*Service)(nil)

// New returns a service. Call Start to begin observing releases.
func New(p Params) *Service {
	log := p.Logger.WithName("origin")
	m := newMetrics(p.Scope.SubScope("origin"))
	parts := max(min(p.Partitions, maxPartitions), 1)
	s := &Service{
		params:   p,
		log:      log,
		metrics:  m,
		wake:     make(chan struct{}, 1),
		own:      origin.NewIndex(maxOwnStarts),
		written:  make(map[origin.Stream]bool),
		seen:     origin.NewHistory(),
		mixed:    make(map[string]bool),
		releases: newReleases(),

		releaseAnnounced: make(chan struct{}),
	}
	s.writer = newWriter(writerParams{
		log:       p.Log,
		partition: port.Partition{Topic: topic, Part: int(xxhash.Sum64String(p.Host) % uint64(parts))},
		interval:  s.writeInterval,
		logger:    log,
		metrics:   m,
	})
	s.reader = newReader(p, parts, s.startMemory, log, m)
	return s
}

// Start starts the background work.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Go(func() { s.run(ctx) })
	s.done.Go(func() { s.writer.run(ctx) })
	return nil
}

// Stop stops the background work after a last attempt to write the pending starts.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.done.Wait()
	return nil
}

// TargetsChanged makes the service look at the releases of the targets soon.
func (s *Service) TargetsChanged() {
	select {
	case s.wake <- struct{}{}:
	default: // it will do so already
	}
}

// memory returns for how long a release that has left may have begun streams that are still
// taken up.
func (s *Service) memory() time.Duration { return minMemory + s.params.LongestStream() }

// startMemory returns the age up to which starts of streams are looked for. An older one counts as
// unknown, so that its stream is not taken up.
func (s *Service) startMemory() time.Duration { return 2*s.params.LongestStream() + startSlack }

// Record implements gateway.Origins.
func (s *Service) Record(ctx context.Context, requestID string, r fleet.Release, isRecorded bool) error {
	if err := s.awaitAnnounced(ctx, r); err != nil {
		s.log.Info("Stream does not begin at a release that is not announced.", "request", requestID, "service", r.Service, "version", r.Version, "cause", err.Error())
		return &gateway.UnannouncedReleaseError{Release: r, Cause: err}
	}
	key := origin.StreamOf(requestID)
	now := time.Now()
	s.mu.Lock()
	start := origin.Start{Stream: key, Release: r, At: now}
	old, isKnown := s.own.Get(key)
	isChanged := isKnown && old.Release != r
	switch {
	case isKnown:
		start.Change = old.Change
	case isRecorded:
		start.Change = handedOverChange
	}
	if isChanged {
		start.Change++
	}
	mustWait := isChanged && s.written[key] || isRecorded && !isKnown
	if !s.own.Put(start) {
		s.metrics.dropped.Inc(1)
	}
	wasWritten := s.written[key]
	isWritten := s.mixed[r.Service] || wasWritten || isRecorded
	if isWritten {
		s.written[key] = true
	}
	s.mu.Unlock()
	if !isWritten || wasWritten && !isChanged {
		return nil
	}
	written := s.writer.add(start)
	if !mustWait {
		return nil
	}
	// The earlier release, of this host or of the one before, may be in the log already. A host
	// that finds it there would go on with the stream at the wrong one.
	if err := written.wait(ctx); err != nil {
		if isKnown {
			s.mu.Lock()
			s.own.Put(origin.Start{Stream: key, Release: old.Release, Change: start.Change, At: now})
			s.mu.Unlock()
		}
		s.log.Info("Stream can't change its release; the change was not written.", "request", requestID, "service", r.Service, "from", old.Release.Version, "to", r.Version, "cause", err.Error())
		return &UnwrittenError{Cause: err}
	}
	return nil
}

// Forget implements gateway.Origins.
func (s *Service) Forget(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Delete(origin.StreamOf(requestID))
}

// UnwrittenError reports that a change of the release that runs a stream was not written to the
// shared log.
type UnwrittenError struct{ Cause error }

// Error implements error.
func (e *UnwrittenError) Error() string {
	return "change of a stream's release was not written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnwrittenError) Unwrap() error { return e.Cause }

// Lookup implements gateway.Origins.
func (s *Service) Lookup(ctx context.Context, service, requestID string) (string, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	version, source, err := s.lookup(ctx, service, origin.StreamOf(requestID))
	s.metrics.recordLookup(source, time.Since(started))
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	s.log.Info("Origin of a stream was looked up.", "stream", requestID, "service", service, "source", source, "version", version,
		"ms", time.Since(started).Milliseconds(), "cause", cause)
	return version, err
}

// The sources of what is known about a stream's origin.
const (
	// fromOwn is this host's memory, fromReleases the shared list of releases, which has only
	// one for the service, and fromLog the log of the streams' starts.
	fromOwn      = "own"
	fromReleases = "releases"
	fromLog      = "log"
	// unknown means that the log has no record of the stream, unavailable that it can't be read.
	unknown     = "unknown"
	unavailable = "unavailable"
)

func (s *Service) lookup(ctx context.Context, service string, key origin.Stream) (version, source string, _ error) {
	s.mu.Lock()
	own, isOwn := s.own.Get(key)
	s.mu.Unlock()
	if isOwn && own.Release.Service == service {
		return own.Release.Version, fromOwn, nil
	}
	if isOwn {
		return "", unknown, &gateway.UnknownOriginError{RetryAfter: unknownRetryAfter, Cause: errors.Errorf("the stream began at service %s", own.Release.Service)}
	}
	if err := s.outage.current(); err != nil {
		return "", unavailable, unavailableError(err)
	}
	versions, err := s.possibleVersions(ctx, service)
	if err != nil {
		s.outage.began(err)
		return "", unavailable, unavailableError(err)
	}
	if len(versions) == 1 {
		s.outage.ended()
		return versions[0], fromReleases, nil
	}
	start, isKnown, err := s.reader.find(ctx, key)
	if err != nil {
		s.outage.began(err)
		return "", unavailable, unavailableError(err)
	}
	s.outage.ended()
	switch {
	case !isKnown || start.Release.Service != service:
		return "", unknown, &gateway.UnknownOriginError{RetryAfter: unknownRetryAfter, Cause: errors.Errorf("no record of the stream, and versions %q serve or served lately", versions)}
	}
	return start.Release.Version, fromLog, nil
}

func unavailableError(cause error) error {
	return &gateway.UnknownOriginError{RetryAfter: unavailableRetryAfter, Cause: cause}
}

// possibleVersions returns the versions of a service that may have begun a stream which is
// taken up now. The shared list has each release before its targets get streams.
func (s *Service) possibleVersions(ctx context.Context, service string) ([]string, error) {
	shared, err := s.reader.releases(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range s.params.Fleet.Releases() {
		shared.SetServing(r)
	}
	return shared.Since(service, time.Now().Add(-s.memory())), nil
}
