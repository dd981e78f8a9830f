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
type breakOff struct {
	content uint64
	at      time.Time
	// isOutlived says that the target took connections afterwards. It may still have
	// ended and have come back before it was looked for.
	isOutlived bool
}

// isUnexplained says whether a target has not been seen to live since it broke off.
func isUnexplained(b breakOff) bool { return !b.isOutlived }

// Broke notes that a request broke off at a target. If the target turns out to
// have crashed, the content is marked.
func (s *Service) RecordInterruption(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(target, breakOff{content: fingerprint, at: time.Now()})
	if !s.isSuccessorKnown(target) {
		s.lookFor(target)
	}
}

// lookFor starts a look for a target unless there is one under way. The caller has the
// lock.
func (s *Service) lookFor(target upstream.Target) {
	if !s.isLookedFor[target] && s.ctx.Err() == nil {
		s.isLookedFor[target] = true
		s.done.Go(func() { s.confirm(target) })
	}
}

// GaveUp notes that a request was given up at a target that need not be looked for.
func (s *Service) RecordAbandoned(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(target, breakOff{content: fingerprint, at: time.Now(), isOutlived: true})
	s.isSuccessorKnown(target)
}

// HasEnded notes that a request broke off at a target and says whether the target
// refuses connections. If so the content is marked when it returns; otherwise the
// target is looked for as after Broke.
func (s *Service) ProbeAfterInterruption(ctx context.Context, fingerprint uint64, target upstream.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(target, breakOff{content: fingerprint, at: time.Now()})
	switch {
	case s.isSuccessorKnown(target):
		return true
	case errors.Is(err, syscall.ECONNREFUSED):
		s.crashed(target, err, isUnexplained)
		return true
	}
	s.lookFor(target)
	return false
}

// Started notes that a target has begun to run. Others at its address, and earlier
// runs under its ID, have ended.
func (s *Service) Started(target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneBreaks()
	for _, key := range []string{target.Address, target.ID} {
		if known, ok := s.latest.Get(key); !ok || isSucceeded(known, target) {
			s.latest.Add(key, target)
		}
	}
	for old := range s.breaks {
		s.isSuccessorKnown(old)
	}
}

// isSuccessorKnown says whether a later run of a target is known. If so, what broke off
// at the target lately is marked. The caller has the lock.
func (s *Service) isSuccessorKnown(target upstream.Target) bool {
	for _, key := range []string{target.Address, target.ID} {
		if next, ok := s.latest.Get(key); ok && isSucceeded(target, next) {
			s.crashed(target, &ReplacedError{By: next.ID}, func(breakOff) bool { return true })
			return true
		}
	}
	return false
}

// isSucceeded says whether a target that has begun to run shows that another has ended.
// Records of targets that are gone may come again, late.
func isSucceeded(old, target upstream.Target) bool {
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
func (s *Service) note(target upstream.Target, b breakOff) {
	s.pruneBreaks()
	list := append(s.breaks[target], b)
	s.breaks[target] = list[max(0, len(list)-maxBreaks):]
}

// pruneBreaks drops breaks that are too old to tell anything, now and then. The caller
// has the lock.
func (s *Service) pruneBreaks() {
	now := time.Now()
	if now.Sub(s.breaksPrunedAt) < breakLife/10 {
		return
	}
	s.breaksPrunedAt = now
	for target, list := range s.breaks {
		list = slices.DeleteFunc(list, func(b breakOff) bool { return now.Sub(b.at) > breakLife })
		if len(list) == 0 {
			delete(s.breaks, target)
			continue
		}
		s.breaks[target] = list
	}
}

// confirm looks for a target at which requests broke off.
func (s *Service) confirm(target upstream.Target) {
	tail.Sleep(s.ctx, confirmAfter)
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	begun := time.Now()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.isLookedFor, target)
	switch {
	case s.ctx.Err() != nil:
	case err != nil:
		s.crashed(target, err, isUnexplained)
	default:
		s.outlived(target, time.Since(begun))
	}
}

// outlived notes that a target took a connection after answers broke off. The caller
// has the lock.
func (s *Service) outlived(target upstream.Target, look time.Duration) {
	var contents []uint64
	for i, b := range s.breaks[target] {
		if !b.isOutlived {
			s.breaks[target][i].isOutlived = true
			contents = append(contents, b.content)
		}
	}
	if len(contents) == 0 {
		return
	}
	s.metrics.looked("lives")
	s.log.Info("Target takes connections after answers broke off.", "target", target.ID, "started_at", target.StartedAt,
		"requests", len(contents), "contents", names(contents), "look_ms", look.Milliseconds())
}

// crashed marks the contents that broke off at a target as it crashed. The caller has
// the lock.
func (s *Service) crashed(target upstream.Target, cause error, isMarked func(breakOff) bool) {
	var contents []uint64
	for _, b := range s.breaks[target] {
		if isMarked(b) {
			contents = append(contents, b.content)
		}
	}
	delete(s.breaks, target)
	if len(contents) == 0 {
		return
	}
	s.metrics.looked("ended")
	s.metrics.crashes.Inc(1)
	s.log.Info("Target has crashed.", "target", target.ID, "started_at", target.StartedAt, "requests", len(contents),
		"contents", names(contents), "cause", cause.Error())
	at := time.Now().UnixNano()
	for _, f := range contents {
		m := poison.Mark{Fingerprint: f, Target: target.ID, Run: target.StartedAt, At: at}
		if s.registry.Verdict(f) != poison.Quarantined {
			s.unshared = append(s.unshared, m)
		}
		s.mark(m, ownHost)
	}
	s.unshared = s.bounded(s.unshared)
	s.signal()
}

// bounded drops the oldest of too many marks.
func (s *Service) bounded(marks []poison.Mark) []poison.Mark {
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
