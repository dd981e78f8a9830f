package origin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
	pb "yuccausher/internal/gen/origin"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// observeInterval is how often the releases of the targets are looked at without a change
	// of the targets.
	observeInterval = time.Second
	// startPoll is how often the service looks whether the targets have been read.
	startPoll = 20 * time.Millisecond
	// reconcileInterval is how often the shared list is compared with the targets.
	reconcileInterval = 30 * time.Second
	// leaveDelay is how long a release must have been without targets before the shared list
	// says that it has left. A target that restarts is without a record for a moment.
	leaveDelay = 3 * time.Second
	// maxTargetsAge is the age of the host's view of the targets up to which a missing target
	// is taken to be gone.
	maxTargetsAge = 5 * time.Second
	// forgetAfter is how long the shared list keeps a release that has left.
	forgetAfter = 10 * time.Minute
	// syncTimeout limits a comparison with the shared list, syncRetry is the pause after one
	// that failed.
	syncTimeout = 1500 * time.Millisecond
	syncRetry   = 150 * time.Millisecond
)

// releases is the state of the goroutine that observes the releases of the targets.
type releases struct {
	// announced holds the releases that the shared list has as serving.
	announced map[fleet.Release]bool
	// goneSince holds when releases were first found to be without targets, until the shared
	// list says that they have left.
	goneSince map[fleet.Release]time.Time
	// syncedAt is when the shared list was last compared with the targets.
	syncedAt time.Time
}

func newReleases() releases {
	return releases{announced: make(map[fleet.Release]bool), goneSince: make(map[fleet.Release]time.Time)}
}

// run keeps the shared list of releases in step with the targets until ctx ends.
func (s *Service) run(ctx context.Context) {
	reconcile := jittered(reconcileInterval)
	for ctx.Err() == nil {
		now := time.Now()
		if s.params.TargetsReadAt().IsZero() {
			tail.Sleep(ctx, startPoll)
			continue
		}
		s.observe(now)
		if s.needsSync(now) || now.Sub(s.releases.syncedAt) > reconcile {
			if !s.sync(ctx) {
				tail.Sleep(ctx, jittered(syncRetry))
				continue
			}
			reconcile = jittered(reconcileInterval)
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(observeInterval):
		}
	}
}

// jittered returns d with a jitter of half of it, so that hosts do not call at the same time.
func jittered(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*rand.Float64()) * float64(d))
}

// observe records the releases of the targets, and the streams of services that several
// releases serve from now on.
func (s *Service) observe(now time.Time) {
	serving := make(map[fleet.Release]bool)
	for _, r := range s.params.Fleet.Releases() {
		serving[r] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range serving {
		s.seen.SetServing(r)
		delete(s.releases.goneSince, r)
	}
	for _, r := range s.seen.Releases() {
		leftAt, _ := s.seen.LeftAt(r)
		if !serving[r] && leftAt.IsZero() {
			s.seen.SetLeft(r, now)
			s.releases.goneSince[r] = now
		}
	}
	s.seen.Forget(now.Add(-forgetAfter))
	s.own.Expire(now.Add(-s.startMemory()))
	for key := range s.written {
		if _, isKnown := s.own.Get(key); !isKnown {
			delete(s.written, key)
		}
	}
	s.reader.expire(now.Add(-s.startMemory()))
	s.updateMixed(now)
}

// updateMixed decides for each service whether its streams are recorded. The caller holds mu.
func (s *Service) updateMixed(now time.Time) {
	for _, service := range s.seen.Services() {
		isMixed := s.seen.IsMixed(service, now.Add(-s.memory()))
		if isMixed == s.mixed[service] {
			continue
		}
		s.mixed[service] = isMixed
		recorded := 0
		if isMixed {
			recorded = s.recordEarlier(service)
		}
		s.log.Info("Recording of streams changed.", "service", service, "is_recorded", isMixed, "versions", s.seen.Since(service, now.Add(-s.memory())), "earlier_streams", recorded)
	}
}

// recordEarlier records the streams that this host began while one release served the service.
// It returns their number. The caller holds mu.
func (s *Service) recordEarlier(service string) int {
	n := 0
	for _, start := range s.own.Of(service) {
		if !s.written[start.Stream] {
			s.written[start.Stream] = true
			s.writer.add(start)
			n++
		}
	}
	return n
}

// needsSync reports whether the shared list has to change.
func (s *Service) needsSync(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.seen.Releases() {
		leftAt, _ := s.seen.LeftAt(r)
		if leftAt.IsZero() && !s.releases.announced[r] {
			return true
		}
	}
	isCurrent := now.Sub(s.params.TargetsReadAt()) <= maxTargetsAge
	for _, since := range s.releases.goneSince {
		if isCurrent && now.Sub(since) >= leaveDelay {
			return true
		}
	}
	return false
}

// sync reads the shared list of releases and corrects it. It returns false if the store has not
// confirmed all changes.
func (s *Service) sync(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	shared, err := s.reader.releases(ctx)
	if err == nil {
		err = s.correct(ctx, shared)
	}
	if isFailing := err != nil; s.isListFailing.Swap(isFailing) != isFailing {
		cause := ""
		if isFailing {
			cause = err.Error()
		}
		s.log.Info("Access to the shared list of releases changed.", "is_failing", isFailing, "cause", cause)
	}
	if err != nil {
		return false
	}
	s.releases.syncedAt = time.Now()
	return true
}

// correct writes what the shared list lacks, and learns from it which releases served before
// this host saw the targets.
func (s *Service) correct(ctx context.Context, shared *origin.History) error {
	now := time.Now()
	for _, r := range shared.Forget(now.Add(-forgetAfter)) {
		if err := s.params.PutRelease(ctx, releaseKey(r), nil); err != nil {
			return err
		}
	}
	s.learn(shared, now)
	for _, r := range s.known() {
		if err := s.announce(ctx, r, shared, now); err != nil {
			return err
		}
	}
	return nil
}

// learn adds the releases of the shared list to those that this host has seen.
func (s *Service) learn(shared *origin.History, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range shared.Releases() {
		leftAt, _ := shared.LeftAt(r)
		own, isKnown := s.seen.LeftAt(r)
		switch {
		case isKnown && own.IsZero():
		case leftAt.IsZero():
			s.seen.SetLeft(r, now)
			if _, isGone := s.releases.goneSince[r]; !isGone {
				s.releases.goneSince[r] = now
			}
		default:
			s.seen.SetLeft(r, leftAt)
		}
	}
	s.updateMixed(now)
}

func (s *Service) known() []fleet.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.Releases()
}

// announce writes the state of one release to the shared list if it differs there.
func (s *Service) announce(ctx context.Context, r fleet.Release, shared *origin.History, now time.Time) error {
	s.mu.Lock()
	leftAt, _ := s.seen.LeftAt(r)
	goneSince, isLeaving := s.releases.goneSince[r]
	s.mu.Unlock()
	sharedLeftAt, isShared := shared.LeftAt(r)
	if leftAt.IsZero() {
		if !isShared || !sharedLeftAt.IsZero() {
			if err := s.put(ctx, r, time.Time{}); err != nil {
				return err
			}
		}
		s.releases.announced[r] = true
		s.params.Fleet.SetAnnounced(r, true)
		s.mu.Lock()
		close(s.releaseAnnounced)
		s.releaseAnnounced = make(chan struct{})
		s.mu.Unlock()
		return nil
	}
	if !isLeaving || now.Sub(goneSince) < leaveDelay || now.Sub(s.params.TargetsReadAt()) > maxTargetsAge {
		return nil
	}
	// Streams must not begin at the release again before it is announced again.
	delete(s.releases.announced, r)
	s.params.Fleet.SetAnnounced(r, false)
	if isShared && sharedLeftAt.IsZero() {
		if err := s.put(ctx, r, now); err != nil {
			return err
		}
	}
	s.mu.Lock()
	delete(s.releases.goneSince, r)
	s.mu.Unlock()
	return nil
}

// announceTimeout limits the wait of a stream for the announcement of its release. The store
// takes milliseconds, and 60 times as long when it is slow.
const announceTimeout = 400 * time.Millisecond

// errListFailing reports that the store did not answer when the shared list was last compared with the
// targets.
var errListFailing = errors.New("the shared list of releases can't be read or written")

// awaitAnnounced waits until the shared list has a release as serving. A host whose view of the
// targets is old would take a stream that begins before for one of another release. It does not
// wait while the store is known not to answer.
func (s *Service) awaitAnnounced(ctx context.Context, r fleet.Release) error {
	if s.params.Fleet.IsAnnounced(r) {
		return nil
	}
	if s.isListFailing.Load() {
		return errListFailing
	}
	s.TargetsChanged()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		announced := s.releaseAnnounced
		s.mu.Unlock()
		if s.params.Fleet.IsAnnounced(r) {
			return nil
		}
		select {
		case <-announced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// put writes a release to the shared list; leftAt is zero while it serves.
func (s *Service) put(ctx context.Context, r fleet.Release, leftAt time.Time) error {
	m := &pb.Release{Service: r.Service, Version: r.Version}
	if !leftAt.IsZero() {
		m.LeftAt = leftAt.UnixMilli()
	}
	value, err := proto.Marshal(m)
	if err != nil {
		return errors.Annotate(err, "release")
	}
	if err := s.params.PutRelease(ctx, releaseKey(r), value); err != nil {
		return err
	}
	s.log.Info("Release was written to the shared list.", "service", r.Service, "version", r.Version, "is_serving", leftAt.IsZero())
	return nil
}

// maxKeyBytes limits a key of the store.
const maxKeyBytes = 255

// releaseKey returns the key of a release. Names that are too long for a key are hashed.
func releaseKey(r fleet.Release) string {
	key := r.Service + "/" + r.Version
	if len(key) <= maxKeyBytes {
		return key
	}
	return hashKey(key)
}

// decodeReleases returns the history that records of the shared list state.
func decodeReleases(records []port.KeyedRecord) (*origin.History, int) {
	h := origin.NewHistory()
	invalid := 0
	for _, record := range records {
		var m pb.Release
		if err := proto.Unmarshal(record.Value, &m); err != nil || m.GetService() == "" {
			invalid++
			continue
		}
		r := fleet.Release{Service: m.GetService(), Version: m.GetVersion()}
		if m.GetLeftAt() == 0 {
			h.SetServing(r)
			continue
		}
		h.SetLeft(r, time.UnixMilli(m.GetLeftAt()))
	}
	return h, invalid
}
