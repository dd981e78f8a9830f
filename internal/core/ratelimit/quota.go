package ratelimit

import "time"

// Role is the part that a host has in granting requests to a target. A leader and a
// standby that both grant stay below one and a half limits; while the first host of a target
// changes, there may be a second standby.
type Role int

// The roles.
const (
	// Bystander hosts grant nothing.
	Bystander Role = iota
	// Standby hosts grant standbyShare of the limit to hosts that can't reach the
	// leader: the second host in the target's order, and a first one that others may
	// not know yet.
	Standby
	// Leader hosts grant the whole limit.
	Leader
)

// String returns the role in lower case.
func (r Role) String() string { return [...]string{"bystander", "standby", "leader"}[r] }

const (
	// standbyShare is the part of the limit that a standby grants.
	standbyShare = 1.0 / 3
	// leaderBurst and standbyBurst are how many requests may be granted at once after a
	// time without requests.
	leaderBurst  = 2.0
	standbyBurst = 1.0
	// minRate is the rate at which a target that wants no requests at all is asked
	// whether this still holds, in requests per second.
	minRate = 0.2
	// reservePerLevel is the part of the leader's burst that is kept for more urgent
	// requests, for each level of urgency between.
	reservePerLevel = 0.25
	// maxLevel is the level of the least urgent requests that is told apart.
	maxLevel = 3
)

// Quota grants the requests of all hosts to one target at the rate of its limit, as a token
// bucket. The zero value has granted nothing and is empty, so that a host that starts does
// not grant what its predecessor has just granted. It is not safe for concurrent use.
type Quota struct {
	// tokens is how many requests may be granted now.
	tokens    float64
	updatedAt time.Time
}

// Decision is the answer to a request for a grant.
type Decision struct {
	IsGranted bool
	// RetryAfter is how long it takes until a request of the same urgency may be
	// granted.
	RetryAfter time.Duration
}

// Take asks for one request to a target that accepts rate requests per second. level is
// the urgency of the request; 0 is the most urgent. Less urgent requests leave a part of the
// burst to more urgent ones, so that these are granted first while more requests come than
// the target accepts.
func (q *Quota) Take(rate float64, role Role, level int, now time.Time) Decision {
	rate, burst := max(rate, minRate), leaderBurst
	switch role {
	case Bystander:
		return Decision{RetryAfter: perRequest(rate)}
	case Standby:
		rate, burst = rate*standbyShare, standbyBurst
	}
	q.refill(rate, burst, now)
	needed := 1.0
	if role == Leader {
		needed += reservePerLevel * float64(min(max(level, 0), maxLevel))
	}
	if q.tokens < needed {
		return Decision{RetryAfter: time.Duration((needed - q.tokens) / rate * float64(time.Second))}
	}
	q.tokens--
	return Decision{IsGranted: true}
}

// Debit counts a request that a host has sent without asking.
func (q *Quota) Debit() { q.tokens = max(q.tokens-1, -leaderBurst) }

func (q *Quota) refill(rate, burst float64, now time.Time) {
	if !q.updatedAt.IsZero() {
		q.tokens += rate * max(now.Sub(q.updatedAt).Seconds(), 0)
	}
	q.tokens = min(q.tokens, burst)
	q.updatedAt = now
}

// perRequest returns the mean time between two requests.
func perRequest(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRate))
}

const (
	// settleTime is how long it takes until all hosts know that a host has started or
	// stopped. Until then some may ask the one before.
	settleTime = 6 * time.Second
	// registrationLease is how long after a host has renewed its record it may assume
	// that the others know it. They drop records that are not renewed some seconds later.
	registrationLease = 20 * time.Second
)

// Standing is what a host knows of its place among the hosts.
type Standing struct {
	// Rank is the host's place in the target's order, from 0; negative if it has none.
	Rank int
	// IsFirstOfRecent is set if it was the first as well with all hosts that were known
	// within RecentTime.
	IsFirstOfRecent bool
	// Age is the time since the host started, SinceRenewal that since it renewed its
	// record.
	Age, SinceRenewal time.Duration
}

// RecentTime is how long hosts that have stopped still count for IsFirstOfRecent.
const RecentTime = settleTime

// Role returns the part that a host has in granting requests.
func (s Standing) Role() Role {
	switch {
	case s.Rank < 0 || s.Rank > 1:
		return Bystander
	case s.Rank == 0 && s.IsFirstOfRecent && s.Age >= settleTime && s.SinceRenewal < registrationLease:
		return Leader
	}
	return Standby
}
