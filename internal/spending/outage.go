package spending

import (
	"math/rand/v2"
	"slices"
	"time"
)

// suspectInterval is the minimum time between probes that are caused by slow reads.
const suspectInterval = 2 * time.Second

// suspectOthers makes the other partitions in use probe the log, so that the host
// detects an outage before turns run into it.
func (s *Service) suspectOthers(unavailable int) {
	for part, l := range s.ledgers {
		if part != unavailable && l.isStarted.Load() {
			l.availability.suspect()
		}
	}
}

// suspectAfterSlowRead makes the other partitions probe the log because a read of one
// is slow. It does so once per suspectInterval, so that a log that is merely slow
// does not cause probe after probe.
func (s *Service) suspectAfterSlowRead(slow int) {
	now := time.Now().UnixNano()
	last := s.suspectedAt.Load()
	if now-last > int64(suspectInterval) && s.suspectedAt.CompareAndSwap(last, now) {
		s.suspectOthers(slow)
	}
}

// recoverySpread is the time over which a host probes its other partitions after one has recovered,
// so that the hosts do not all call the log at the moment at which it answers again.
const recoverySpread = 300 * time.Millisecond

// probeOthersSoon probes the other unavailable partitions because one has recovered. Partitions with
// loans are probed at once, since loans are lost if all hosts that know of them end before they are
// claimed.
func (s *Service) probeOthersSoon(recovered int) {
	for part, l := range s.ledgers {
		switch {
		case part == recovered || !l.isUnavailable():
		case l.hasLoans():
			l.availability.probeNow()
		default:
			time.AfterFunc(rand.N(recoverySpread), l.availability.probeNow)
		}
	}
}

// isProbeDelegated reports whether the log is unavailable as a whole, as far as this
// host knows, and the partition is not the first of those in use. Only the first one
// is then probed at the usual rate.
func (s *Service) isProbeDelegated(part int) bool {
	first := slices.IndexFunc(s.ledgers, func(l *ledger) bool { return l.isStarted.Load() })
	return part != first && s.isUnavailable()
}

// isUnavailable reports whether a partition is unavailable and none has answered
// since it became so.
func (s *Service) isUnavailable() bool { return !s.unavailableSince().IsZero() }

// unavailableSince returns when the first of the partitions became unavailable of which none has answered
// since; zero if there is none.
func (s *Service) unavailableSince() time.Time {
	answered := s.answeredAt.Load()
	var first time.Time
	for _, l := range s.ledgers {
		since := l.availability.since()
		if since.IsZero() || since.UnixNano() <= answered {
			continue
		}
		if first.IsZero() || since.Before(first) {
			first = since
		}
	}
	return first
}
