package spending

import (
	"slices"
	"time"
)

// suspectPause is the least time between probes because reads are late.
const suspectInterval = 2 * time.Second

// suspectOthers makes the other partitions probe the log, so that the host
// knows of an outage before turns meet it.
func (s *Service) suspectOthers(away int) {
	for part, l := range s.ledgers {
		if part != away && l.isStarted.Load() {
			l.availability.suspect()
		}
	}
}

// suspectLate makes the other partitions probe the log because a read takes long.
// A log that is slow does not make the host probe again and again.
func (s *Service) suspectAfterSlowRead(late int) {
	now := time.Now().UnixNano()
	last := s.suspectedAt.Load()
	if now-last > int64(suspectInterval) && s.suspectedAt.CompareAndSwap(last, now) {
		s.suspectOthers(late)
	}
}

// hastenOthers makes the host probe the partitions that are away, since one has
// returned.
func (s *Service) probeOthersNow(returned int) {
	for part, l := range s.ledgers {
		if part != returned {
			l.availability.probeNow()
		}
	}
}

// isFollower says whether all partitions are away, as far as is known, and this
// one is not the first of those in use.
func (s *Service) isProbeDelegated(part int) bool {
	first := slices.IndexFunc(s.ledgers, func(l *ledger) bool { return l.isStarted.Load() })
	return part != first && s.isUnavailable()
}

// isAway says whether a partition is away and none has answered since.
func (s *Service) isUnavailable() bool {
	answered := s.answeredAt.Load()
	return slices.ContainsFunc(s.ledgers, func(l *ledger) bool {
		since := l.availability.since()
		return !since.IsZero() && since.UnixNano() > answered
	})
}
