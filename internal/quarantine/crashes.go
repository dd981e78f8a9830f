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

// interruption is a request that was not answered in full by a target, or whose answer
// may be incomplete.
type interruption struct {
	content uint64
	at      time.Time
	// isUnframed is true if an answer ended with its connection. It is incomplete only
	// if the target crashed at that moment.
	isUnframed bool
	// isAlive is true if the target accepted a connection afterwards. It may still have
	// crashed and restarted before the probe.
	isAlive bool
}

// isCrash reports whether the failure of a probe shows that the target has crashed at an
// interruption. A connection that was closed in order shows that the target's machine
// could be reached, so that only a refused connection tells of a crash.
func (b interruption) isCrash(failure error) bool {
	return !b.isAlive && (!b.isUnframed || errors.Is(failure, syscall.ECONNREFUSED))
}

// isCrashBefore reports whether the start of a target's next run shows that the target
// has crashed at an interruption.
func (b interruption) isCrashBefore(next upstream.Target) bool {
	if !b.isUnframed {
		return true
	}
	return next.StartedAt != 0 && time.UnixMilli(next.StartedAt).Sub(b.at).Abs() <= maxRestartTime
}

// RecordInterruption records that a request was interrupted at a target and probes the target in the
// background. If the target turns out to have crashed, the content is marked.
func (s *Service) RecordInterruption(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, at: time.Now()})
	if _, ok := s.markIfReplaced(target); !ok {
		s.startProbe(target)
	}
}

// ProbeAfterUnframedAnswer records that an answer ended with its connection, probes the
// target, and reports whether it has crashed, as ProbeAfterInterruption does. The answer
// is then probably incomplete.
func (s *Service) ProbeAfterUnframedAnswer(ctx context.Context, fingerprint uint64, target upstream.Target) bool {
	return s.probeAfter(ctx, target, interruption{content: fingerprint, isUnframed: true})
}

// startProbe probes a target in the background unless a probe of it is running. The
// caller holds the lock.
func (s *Service) startProbe(target upstream.Target) {
	if !s.probing[target] && s.ctx.Err() == nil {
		s.probing[target] = true
		s.done.Go(func() { s.probeInterrupted(target) })
	}
}

// RecordAbandoned records that a request was given up at a target that need not be probed.
func (s *Service) RecordAbandoned(fingerprint uint64, target upstream.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, interruption{content: fingerprint, at: time.Now(), isAlive: true})
	s.markIfReplaced(target)
}

// ProbeAfterInterruption records that a request was interrupted at a target, probes it,
// and reports whether the target has crashed: whether it refuses connections or has been
// replaced. If so, the content is already marked when the method returns; otherwise the
// target is probed in the background as after RecordInterruption.
func (s *Service) ProbeAfterInterruption(ctx context.Context, fingerprint uint64, target upstream.Target) bool {
	return s.probeAfter(ctx, target, interruption{content: fingerprint})
}

// probeAfter records an interruption that has just happened and probes the target.
func (s *Service) probeAfter(ctx context.Context, target upstream.Target, b interruption) bool {
	ctx, cancel := context.WithTimeout(ctx, syncProbeTimeout)
	defer cancel()
	b.at = time.Now()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, b)
	if next, ok := s.markIfReplaced(target); ok {
		return b.isCrashBefore(next)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.markCrashed(target, err, func(b interruption) bool { return b.isCrash(err) })
		return true
	}
	s.startProbe(target)
	return false
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
			s.markCrashed(target, &ReplacedError{By: next.ID}, func(b interruption) bool { return b.isCrashBefore(next) })
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

// addInterruption records an interruption, of which the newest maxInterruptions of each
// target are kept. The caller holds the lock.
func (s *Service) addInterruption(target upstream.Target, b interruption) {
	s.pruneInterruptions()
	list := append(s.interruptions[target], b)
	s.interruptions[target] = list[max(0, len(list)-maxInterruptions):]
}

// pruneInterruptions removes interruptions older than interruptionTTL. It runs at most
// every tenth of that time. The caller holds the lock.
func (s *Service) pruneInterruptions() {
	now := time.Now()
	if now.Sub(s.prunedAt) < interruptionTTL/10 {
		return
	}
	s.prunedAt = now
	for target, list := range s.interruptions {
		list = slices.DeleteFunc(list, func(b interruption) bool {
			isExpired := now.Sub(b.at) > interruptionTTL
			if isExpired && !b.isAlive {
				s.logExpired(target, b)
			}
			return isExpired
		})
		if len(list) == 0 {
			delete(s.interruptions, target)
			continue
		}
		s.interruptions[target] = list
	}
}

// logExpired reports an interruption that is forgotten though nothing has shown whether its
// target crashed.
func (s *Service) logExpired(target upstream.Target, b interruption) {
	s.metrics.expired.Inc(1)
	s.log.Info("Interruption expired; it is not known whether its target crashed.", "target", target.ID, "started_at", target.StartedAt,
		"content", formatFingerprint(b.content), "age_ms", time.Since(b.at).Milliseconds())
}

// contentsOf returns the contents of the interruptions at a target that are not known to be
// alive. The caller holds the lock.
func (s *Service) contentsOf(target upstream.Target) []uint64 {
	var contents []uint64
	for _, b := range s.interruptions[target] {
		if !b.isAlive {
			contents = append(contents, b.content)
		}
	}
	return contents
}

// probeInterrupted probes a target after interruptions and marks their contents if it
// does not accept a connection.
func (s *Service) probeInterrupted(target upstream.Target) {
	tail.Sleep(s.ctx, probeDelay)
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	err := s.probe(ctx, target)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, target)
	switch {
	case s.ctx.Err() != nil:
	case isInconclusive(err):
		// If the target has crashed, its next run will show it.
		s.metrics.countProbe("inconclusive")
		s.log.Info("Target can't be probed after requests were interrupted.", "target", target.ID, "started_at", target.StartedAt,
			"contents", formatFingerprints(s.contentsOf(target)), "cause", err.Error())
	case err != nil:
		s.markCrashed(target, err, func(b interruption) bool { return b.isCrash(err) })
	default:
		s.foundAlive(target, time.Since(started))
	}
}

func isInconclusive(err error) bool {
	var inconclusive *InconclusiveError
	return errors.As(err, &inconclusive)
}

// foundAlive records that a target accepted a connection after interruptions. The
// caller holds the lock.
func (s *Service) foundAlive(target upstream.Target, probeTime time.Duration) {
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
	s.log.Info("Target accepts connections after requests were interrupted.", "target", target.ID, "started_at", target.StartedAt,
		"requests", len(contents), "contents", formatFingerprints(contents), "look_ms", probeTime.Milliseconds())
}

// markCrashed marks the contents of the interruptions at a crashed target for which
// isMarked returns true, and drops all its interruptions. The caller holds the lock.
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
