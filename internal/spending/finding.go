package spending

import (
	"time"

	"yuccausher/internal/port"
)

// A large loan is safe only if a gap between the marks of all readers will tell of it. How long this host has not reached the
// log does not say that: others may have marked the partition until a moment ago. So a loan rests on what the hosts have
// stated that were asked whether they reach the log. A host that reaches it again marks the partition only after it has fenced
// the lenders, which makes earlier findings void.

// finding is what a host has found out by asking others: that none reaches the log.
type finding struct {
	// at is when the host began to ask them.
	at time.Time
	// silentSince is the time since when no host has marked the partition; the zero time if that is not known.
	silentSince time.Time
}

// silentSince returns the time since when no host has marked the partition, by the statements of those asked and of this host;
// the zero time if that is not known.
//
// If all have answered, it is the time of the latest mark. Hosts that have not answered are taken not to reach the log, as by
// all loans: they could claim as well. Nor is it known what an earlier run of a process has done. Neither has marked the
// partition later than the log has last answered one of a majority.
func (r claimResult) silentSince(own port.LogContact) time.Time {
	contacts := append([]port.LogContact{own}, r.contacts...)
	var markedAt, answeredAt time.Time
	allMarked, answered := r.silent == 0, 0
	for _, c := range contacts {
		allMarked = allMarked && !c.MarkedAt.IsZero()
		markedAt = latest(markedAt, c.MarkedAt)
		if !c.AnsweredAt.IsZero() {
			// A mark whose append got no answer is later.
			answeredAt = latest(answeredAt, latest(c.AnsweredAt, c.MarkedAt))
			answered++
		}
	}
	isMajority := 2*answered > len(contacts)+r.silent
	switch {
	case allMarked && (!isMajority || markedAt.Before(answeredAt)):
		return markedAt
	case isMajority:
		return answeredAt
	}
	return time.Time{}
}

// contact returns what this host states of its contact with the log.
func (s *Service) contact(l *ledger) port.LogContact {
	l.mu.Lock()
	defer l.mu.Unlock()
	return port.LogContact{AnsweredAt: s.logAnsweredAt(), MarkedAt: latest(s.startedAt, l.newestMark)}
}

// showsGap reports whether a gap between marks will tell of loans that are made now, if no host has marked the partition since
// a time; the zero time says that this is not known. The caller holds l.mu.
func (l *ledger) showsGap(silentSince time.Time) bool {
	f := &l.following
	if f.coveredUntil.IsZero() || silentSince.IsZero() {
		return false
	}
	return time.Since(latest(silentSince, l.newestMark)) > largeLoanDelay && f.now().Sub(f.coveredUntil) > largeLoanDelay
}

// silentFor returns how long ago a time is; negative for the zero time, which is not known.
func silentFor(silentSince time.Time) time.Duration {
	if silentSince.IsZero() {
		return -time.Millisecond
	}
	return time.Since(silentSince)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
