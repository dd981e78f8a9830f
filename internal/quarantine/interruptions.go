package quarantine

import (
	"slices"
	"time"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

const (
	// interruptionTTL is how long an interruption may still be attributed to a crash of
	// its target after the target was found alive: until a restarted target has registered,
	// which may take several seconds.
	interruptionTTL = 10 * time.Second
	// unsettledTTL is the same while nothing has shown whether the target is alive. It is
	// longer than hosts are without a path to a target, or targets without a record, as a rule.
	unsettledTTL = time.Minute
	// pruneInterval is the least time between two searches for expired interruptions.
	pruneInterval = time.Second
	// maxInterruptions limits the interruptions that are kept per target.
	maxInterruptions = 256
)

// interruption is a request that was not answered in full by a target, or whose answer
// may be incomplete.
type interruption struct {
	content uint64
	// features are those of the request besides its content.
	features []poison.Feature
	at       time.Time
	// isUnframed is true if an answer ended with its connection. It is incomplete only
	// if the target crashed at that moment.
	isUnframed bool
	// isAlive is true if the target accepted a connection or answered afterwards. It may
	// still have crashed and restarted before.
	isAlive bool
	// isInconclusive is true if this host has tried to find out whether the target is alive,
	// and can't tell.
	isInconclusive bool
	// isReported is true if another host has reported the interruption, which goes on asking
	// until it is settled.
	isReported bool
}

// isUnsettled reports whether nothing has shown whether the target is alive.
func (b interruption) isUnsettled() bool { return !b.isAlive }

func (b interruption) isExpired(now time.Time) bool {
	if b.isUnsettled() {
		return now.Sub(b.at) > unsettledTTL
	}
	return now.Sub(b.at) > interruptionTTL
}

// isCrash reports whether the state of a target shows that it has crashed at an
// interruption. A connection that was closed in order shows that the target's machine
// could be reached, so that only a refused connection tells of a crash.
func (b interruption) isCrash(state poison.State) bool {
	return b.isUnsettled() && (!b.isUnframed || state == poison.Refused)
}

// isCrashBefore reports whether the start of a target's next run shows that the target
// has crashed at an interruption.
func (b interruption) isCrashBefore(nextStartedAt int64) bool {
	limit := maxRestartTime
	switch {
	case !b.isUnframed:
		return true
	case b.isUnsettled() && b.isInconclusive:
		// No host could probe the target, and it has answered nothing since.
		limit = interruptionTTL
	}
	return nextStartedAt != 0 && time.UnixMilli(nextStartedAt).Sub(b.at).Abs() <= limit
}

// addInterruption records an interruption, of which the newest maxInterruptions of each
// target are kept. The caller holds the lock.
func (s *Service) addInterruption(target upstream.Target, b interruption) {
	s.pruneInterruptions()
	list := append(s.interruptions[target], b)
	s.interruptions[target] = list[max(0, len(list)-maxInterruptions):]
	s.countUnsettled()
}

// addReported records the interruptions that another host reports, unless it has reported them
// before. The caller holds the lock.
func (s *Service) addReported(target upstream.Target, reported []poison.Interruption) {
	now := time.Now()
	for _, r := range reported {
		isKnown := func(b interruption) bool { return b.isReported && b.content == r.Fingerprint && b.isUnsettled() }
		if !slices.ContainsFunc(s.interruptions[target], isKnown) {
			s.addInterruption(target, interruption{content: r.Fingerprint, features: r.Features, at: now.Add(-max(r.Age, 0)), isUnframed: r.IsUnframed, isReported: true})
		}
	}
}

// pruneInterruptions removes expired interruptions, at most once in pruneInterval. The caller
// holds the lock.
func (s *Service) pruneInterruptions() {
	now := time.Now()
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for target, list := range s.interruptions {
		list = slices.DeleteFunc(list, func(b interruption) bool {
			isExpired := b.isExpired(now)
			if isExpired && b.isUnsettled() {
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
	s.countUnsettled()
}

// logExpired reports an interruption that is forgotten though nothing has shown whether its
// target crashed.
func (s *Service) logExpired(target upstream.Target, b interruption) {
	s.metrics.expired.Inc(1)
	s.log.Info("Interruption expired; it is not known whether its target crashed.", "target", target.ID, "started_at", target.StartedAt,
		"content", formatFingerprint(b.content), "age_ms", time.Since(b.at).Milliseconds())
}

// unsettledAt returns the unsettled interruptions at a target. The caller holds the lock.
func (s *Service) unsettledAt(target upstream.Target) []interruption {
	var list []interruption
	for _, b := range s.interruptions[target] {
		if b.isUnsettled() {
			list = append(list, b)
		}
	}
	return list
}

// countUnsettled updates the number of unsettled interruptions. The caller holds the lock.
func (s *Service) countUnsettled() {
	n := int64(0)
	for _, list := range s.interruptions {
		for _, b := range list {
			if b.isUnsettled() {
				n++
			}
		}
	}
	s.unsettled.Store(n)
	s.metrics.unsettled.Update(float64(n))
}

// contentsOf returns the contents of interruptions.
func contentsOf(list []interruption) []uint64 {
	contents := make([]uint64, len(list))
	for i, b := range list {
		contents[i] = b.content
	}
	return contents
}

// IsUnsettled reports whether content was interrupted at a target, and neither this host nor any
// that it has asked can tell whether the target has crashed. It calls fingerprint only while
// there are such interruptions.
func (s *Service) IsUnsettled(fingerprint func() uint64) bool {
	if s.unsettled.Load() == 0 {
		return false
	}
	f := fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.interruptions {
		for _, b := range list {
			if b.content == f && b.isUnsettled() && b.isInconclusive {
				return true
			}
		}
	}
	return false
}

// RecordAnswer records that a target has answered a request that was sent at a time, on a new
// or an open connection. The target has outlived the interruptions before.
func (s *Service) RecordAnswer(target upstream.Target, sent time.Time) {
	if s.unsettled.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markAlive(target, sent.Add(-probeDelay))
}

// markAlive records that a target was alive at a time and returns the contents of the
// interruptions before it. The caller holds the lock.
func (s *Service) markAlive(target upstream.Target, at time.Time) []uint64 {
	var contents []uint64
	for i, b := range s.interruptions[target] {
		if b.isUnsettled() && b.at.Before(at) {
			s.interruptions[target][i].isAlive = true
			contents = append(contents, b.content)
		}
	}
	if len(contents) > 0 {
		s.countUnsettled()
	}
	return contents
}
