package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

// RecordInterruption records that a request was interrupted at a target and probes the target in the
// background. If the target turns out to have crashed, the content and the other features of the
// request are marked.
func (s *Service) RecordInterruption(fingerprint uint64, target upstream.Target, features ...poison.Feature) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, features: features, at: time.Now()})
	if _, ok := s.markIfReplaced(target); !ok {
		s.startSettling(target)
	}
}

// ProbeAfterUnframedAnswer records that an answer ended with its connection, probes the
// target, and reports whether it has crashed, as ProbeAfterInterruption does. The answer
// is then probably incomplete.
func (s *Service) ProbeAfterUnframedAnswer(ctx context.Context, fingerprint uint64, target upstream.Target, features ...poison.Feature) bool {
	hasCrashed, _ := s.probeAfter(ctx, target, interruption{content: fingerprint, features: features, isUnframed: true})
	return hasCrashed
}

// RecordAbandoned records that a request was given up at a target that need not be probed.
func (s *Service) RecordAbandoned(fingerprint uint64, target upstream.Target, features ...poison.Feature) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, features: features, at: time.Now(), isAlive: true})
	s.markIfReplaced(target)
}

// ProbeAfterInterruption records that a request was interrupted at a target, probes it,
// and reports whether the target has crashed: whether it refuses connections or has been
// replaced. If so, the content is already marked when the method returns; otherwise the
// target is probed in the background as after RecordInterruption.
//
// isOutOfReach reports whether this host reaches neither the target nor others, so that the
// connection may have ended with its path.
func (s *Service) ProbeAfterInterruption(ctx context.Context, fingerprint uint64, target upstream.Target, features ...poison.Feature) (hasCrashed, isOutOfReach bool) {
	return s.probeAfter(ctx, target, interruption{content: fingerprint, features: features})
}

// Started records that a target has started. Other targets at its address and earlier
// runs under its ID have therefore ended.
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

// markIfReplaced returns a later run of a target if one is known. If so, it marks the
// contents of recent interruptions at the target. The caller holds the lock.
func (s *Service) markIfReplaced(target upstream.Target) (upstream.Target, bool) {
	for _, key := range []string{target.Address, target.ID} {
		if next, ok := s.latestRuns.Get(key); ok && isReplaced(target, next) {
			s.markCrashed(target, &ReplacedError{By: next.ID}, time.Now().UnixNano(), func(b interruption) bool { return b.isCrashBefore(next.StartedAt) })
			return next, true
		}
	}
	return upstream.Target{}, false
}

// isReplaced reports whether the start of target shows that old has ended. Records of
// removed targets may arrive again, late.
func isReplaced(old, target upstream.Target) bool {
	if old == target || old.Address != target.Address && old.ID != target.ID {
		return false
	}
	return old.StartedAt == 0 || target.StartedAt == 0 || old.StartedAt <= target.StartedAt
}

// ReplacedError means that another run of a target has started at its address or under
// its ID.
type ReplacedError struct{ By string }

// Error implements error.
func (e *ReplacedError) Error() string { return "target " + e.By + " has started in its place" }

// markCrashed marks the contents of the interruptions at a crashed target for which
// isMarked returns true, and drops all its interruptions. seenAt is when the crash was
// detected, in nanoseconds since 1970. The caller holds the lock.
func (s *Service) markCrashed(target upstream.Target, cause error, seenAt int64, isMarked func(interruption) bool) {
	var contents []uint64
	var features []poison.Feature
	for _, b := range s.interruptions[target] {
		if isMarked(b) {
			contents = append(contents, b.content)
			features = append(append(features, poison.Feature{Fingerprint: b.content}), b.features...)
		}
	}
	delete(s.interruptions, target)
	s.countUnsettled()
	if len(contents) == 0 {
		return
	}
	s.metrics.countProbe("ended")
	s.metrics.crashes.Inc(1)
	s.log.Info("Target has crashed.", "target", target.ID, "started_at", target.StartedAt, "requests", len(contents),
		"contents", formatFingerprints(contents), "cause", cause.Error())
	// Many requests of one crash have a path or a program in common.
	slices.SortFunc(features, func(a, b poison.Feature) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, f := range slices.Compact(features) {
		m := poison.Mark{Fingerprint: f.Fingerprint, Kind: f.Kind, Target: target.ID, Run: target.StartedAt, At: seenAt}
		// A wide feature goes on explaining crashes to other hosts, which have the marks of the
		// requests beside it.
		if f.Kind.IsWide() || s.evidence.Verdict(f.Fingerprint) != poison.Quarantined {
			s.unshared = append(s.unshared, m)
		}
		s.addMark(m, localHost)
	}
	s.assess(localHost)
	s.unshared = s.dropOldest(s.unshared)
	s.signal()
}

// dropOldest drops the oldest marks beyond maxUnshared.
func (s *Service) dropOldest(marks []poison.Mark) []poison.Mark {
	if lost := len(marks) - maxUnshared; lost > 0 {
		s.log.Info("Too many crashes wait to be written to the shared log; the oldest were dropped.", "count", lost)
		return marks[lost:]
	}
	return marks
}

// signal notifies the reader of Changed without blocking.
func (s *Service) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
