package quarantine

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/tail"
	"yuccausher/internal/upstream"
)

// breakOff is a request that got no whole answer at a target.
type interruption struct {
	content uint64
	at      time.Time
	// isOutlived says that the target took connections afterwards. It may still have
	// ended and have come back before it was looked for.
	isAlive bool
}

// isUnexplained says whether a target has not been seen to live since it broke off.
func notSeenAlive(b interruption) bool { return !b.isAlive }

// Broke notes that a request broke off at a target. If the target turns out to
// have crashed, the content is marked.
func (s *Service) Broke(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, at: time.Now()})
	if !s.markIfReplaced(target) {
		s.startProbe(target)
	}
}

// lookFor starts a look for a target unless there is one under way. The caller has the
// lock.
func (s *Service) startProbe(target upstream.Target) {
	if !s.probing[target] && s.ctx.Err() == nil {
		s.probing[target] = true
		s.done.Go(func() { s.probeInterrupted(target) })
	}
}

// GaveUp notes that a request was given up at a target that need not be looked for.
func (s *Service) GaveUp(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, at: time.Now(), isAlive: true})
	s.markIfReplaced(target)
}

// HasEnded notes that a request broke off at a target and says whether the target
// refuses connections. If so the content is marked when it returns; otherwise the
// target is looked for as after Broke.
func (s *Service) HasEnded(ctx context.Context, fingerprint uint64, target upstream.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, syncProbeTimeout)
	defer cancel()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, at: time.Now()})
	switch {
	case s.markIfReplaced(target):
		return true
	case errors.Is(err, syscall.ECONNREFUSED):
		s.markCrashed(target, err, notSeenAlive)
		return true
	}
	s.startProbe(target)
	return false
}

// Started notes that a target has begun to run. Others at its address, and earlier
// runs under its ID, have ended.
func (s *Service) Started(target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneInterruptions()
	for _, key := range []string{target.Address, target.ID} {
		if known, ok := s.latestRuns.Get(key); !ok || isReplaced(known, target) {
			s.latestRuns.Add(key, target)
		}
	}
	for old := range s.interruptions {
		s.markIfReplaced(old)
	}
}

// isSuccessorKnown says whether a later run of a target is known. If so, what broke off
// at the target lately is marked. The caller has the lock.
func (s *Service) markIfReplaced(target upstream.Target) bool {
	for _, key := range []string{target.Address, target.ID} {
		if next, ok := s.latestRuns.Get(key); ok && isReplaced(target, next) {
			s.markCrashed(target, &ReplacedError{By: next.ID}, func(interruption) bool { return true })
			return true
		}
	}
	return false
}

// isSucceeded says whether a target that has begun to run shows that another has ended.
// Records of targets that are gone may come again, late.
func isReplaced(old, target upstream.Target) bool {
	if old == target || old.Address != target.Address && old.ID != target.ID {
		return false
	}
	return old.StartedAt == 0 || target.StartedAt == 0 || old.StartedAt <= target.StartedAt
}

// SucceededError says that another run of a target has begun at its address or under
// its ID.
type ReplacedError struct{ By string }

// Error implements error.
func (e *ReplacedError) Error() string { return "target " + e.By + " has begun to run in its place" }

// note remembers a break. The caller has the lock.
func (s *Service) addInterruption(target upstream.Target, b interruption) {
	s.pruneInterruptions()
	list := append(s.interruptions[target], b)
	s.interruptions[target] = list[max(0, len(list)-maxInterruptions):]
}

// pruneBreaks drops breaks that are too old to tell anything, now and then. The caller
// has the lock.
func (s *Service) pruneInterruptions() {
	now := time.Now()
	if now.Sub(s.prunedAt) < interruptionTTL/10 {
		return
	}
	s.prunedAt = now
	for target, list := range s.interruptions {
		list = slices.DeleteFunc(list, func(b interruption) bool { return now.Sub(b.at) > interruptionTTL })
		if len(list) == 0 {
			delete(s.interruptions, target)
			continue
		}
		s.interruptions[target] = list
	}
}

// confirm looks for a target at which requests broke off.
func (s *Service) probeInterrupted(target upstream.Target) {
	tail.Sleep(s.ctx, probeDelay)
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	begun := time.Now()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, target)
	switch {
	case s.ctx.Err() != nil:
	case err != nil:
		s.markCrashed(target, err, notSeenAlive)
	default:
		s.foundAlive(target, time.Since(begun))
	}
}

// outlived notes that a target took a connection after answers broke off. The caller
// has the lock.
func (s *Service) foundAlive(target upstream.Target, look time.Duration) {
	var contents []uint64
	for i, b := range s.interruptions[target] {
		if !b.isAlive {
			s.interruptions[target][i].isAlive = true
			contents = append(contents, b.content)
		}
	}
	if len(contents) == 0 {
		return
	}
	s.metrics.countProbe("lives")
	s.log.Info("Target takes connections after answers broke off.", "target", target.ID, "started_at", target.StartedAt,
		"requests", len(contents), "contents", formatFingerprints(contents), "look_ms", look.Milliseconds())
}

// crashed marks the contents that broke off at a target as it crashed. The caller has
// the lock.
func (s *Service) markCrashed(target upstream.Target, cause error, isMarked func(interruption) bool) {
	var contents []uint64
	for _, b := range s.interruptions[target] {
		if isMarked(b) {
			contents = append(contents, b.content)
		}
	}
	delete(s.interruptions, target)
	if len(contents) == 0 {
		return
	}
	s.metrics.countProbe("ended")
	s.metrics.crashes.Inc(1)
	s.log.Info("Target has crashed.", "target", target.ID, "started_at", target.StartedAt, "requests", len(contents),
		"contents", formatFingerprints(contents), "cause", cause.Error())
	at := time.Now().UnixNano()
	for _, f := range contents {
		m := poison.Mark{Fingerprint: f, Target: target.ID, Run: target.StartedAt, At: at}
		if s.registry.Verdict(f) != poison.Quarantined {
			s.unshared = append(s.unshared, m)
		}
		s.addMark(m, localHost)
	}
	s.unshared = s.dropOldest(s.unshared)
	s.signal()
}

// bounded drops the oldest of too many marks.
func (s *Service) dropOldest(marks []poison.Mark) []poison.Mark {
	if lost := len(marks) - maxUnshared; lost > 0 {
		s.log.Info("Crashes can't be shared and are dropped.", "count", lost)
		return marks[lost:]
	}
	return marks
}

func (s *Service) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
