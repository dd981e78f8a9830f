package occupancyrpc

import (
	"math"
	"time"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/ratelimit"
	"yuccausher/internal/gen/occupancy"
)

// maxTransit is the longest time that a message is expected to take. A statement without a
// limit must not seem to be of a request that was sent later than it was.
const maxTransit = 100 * time.Millisecond

// toWire returns the message of a rate limit, with ages in place of times, as clocks of
// hosts differ. It returns nil if nothing is known.
func toWire(l fleet.TargetLimit, now time.Time) *occupancy.RateLimit {
	if l.ReceivedAt.IsZero() {
		return nil
	}
	return &occupancy.RateLimit{
		Target:        []byte(l.ID),
		StartedAt:     l.StartedAt,
		IsLimited:     l.IsLimited,
		PerSecond:     l.Rate,
		SentAgeMs:     age(l.SentAt, now),
		ReceivedAgeMs: age(l.ReceivedAt, now),
	}
}

func fromWire(m *occupancy.RateLimit, now time.Time) fleet.TargetLimit {
	if m == nil {
		return fleet.TargetLimit{}
	}
	sentAt := now.Add(-milliseconds(m.SentAgeMs))
	if !m.IsLimited {
		sentAt = sentAt.Add(-maxTransit)
	}
	return fleet.TargetLimit{
		ID:        string(m.Target),
		StartedAt: m.StartedAt,
		Statement: ratelimit.Statement{
			Rate:       m.PerSecond,
			IsLimited:  m.IsLimited,
			SentAt:     sentAt,
			ReceivedAt: now.Add(-milliseconds(m.ReceivedAgeMs)),
		},
	}
}

func fromWires(list []*occupancy.RateLimit, now time.Time) []fleet.TargetLimit {
	limits := make([]fleet.TargetLimit, len(list))
	for i, m := range list {
		limits[i] = fromWire(m, now)
	}
	return limits
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// age returns the time since at in milliseconds.
func age(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}
