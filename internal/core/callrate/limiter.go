// Package callrate decides how many calls one host makes to a service that all hosts share
// and that refuses calls beyond a total rate. It answers a load in which the calls of all
// hosts together exceed that rate, as after a fall of all hosts or at the end of an outage.
// It performs no I/O.
package callrate

import "time"

// Class is the urgency of a call.
type Class int

const (
	// Urgent calls are those that a caller's request waits for.
	Urgent Class = iota
	// Background calls prepare for later requests.
	Background
)

const (
	// maxShares is how many equal shares one host may use while no call is refused: callers
	// are spread unevenly over hosts.
	maxShares = 8
	// refusedFactor is what a refusal leaves of the rate. Callers are spread unevenly over hosts, so
	// that a rate at the equal share after one refusal would leave much of what the service accepts
	// unused.
	refusedFactor = 0.5
	// refusedShare is the rate, in equal shares, below which the refusal of some calls does not lower
	// it. If all hosts call at it, their sum stays below what the service accepts.
	refusedShare = 0.9
	// growthPerSecond is how many equal shares the rate of a host grows in a second. A host that
	// was refused at a moment of overload has its largest rate again after some seconds.
	growthPerSecond = 1.0
	// refusalWindow is the time after a refusal within which further ones do not lower the rate:
	// they answer calls that were sent at the earlier rate.
	refusalWindow = 100 * time.Millisecond
	// turnedAwayInterval is how long all calls of a host must be refused before its rate is lowered
	// below the equal share, and again after each such time. Stores that count calls by the second
	// refuse all calls in the rest of a second.
	turnedAwayInterval = time.Second
	// minPerSecond is the least rate of a host whose calls are all refused.
	minPerSecond = 2.0
	// burstTime is for how long a host may call at its rate at once after a pause. minBurst is the
	// least number of calls that it may make at once.
	burstTime = 250 * time.Millisecond
	minBurst  = 4.0
	// minWait is the least wait, so that a rounding error never admits a call.
	minWait = time.Microsecond
	// backgroundReserve is the share of the burst that calls in the background leave to urgent
	// ones.
	backgroundReserve = 0.5
)

// Limiter is the rate limiter of one host. It follows the refusals of the service: the rate falls
// while calls are refused, to the equal share within five times refusalWindow, and grows again while
// calls are answered. The sum over all hosts is therefore at most refusedShare of what the service
// accepts once it has refused calls of each host for that time, and grows by no more than the whole
// in a second from then on. Limiter is not safe for concurrent use.
type Limiter struct {
	// total is what the service accepts from all hosts, in calls per second; zero if unknown.
	total float64
	hosts int
	// rate is the current rate in calls per second.
	rate   float64
	tokens float64
	at     time.Time
	// refusedAt is when a refusal last counted. loweredAt is when the rate was last lowered below the
	// equal share, or when calls began to be refused without exception.
	refusedAt, loweredAt time.Time
	// isRefusedOnly is set while no call has been answered since the last refusal.
	isRefusedOnly bool
}

// New returns a limiter of a service that accepts total calls per second from all hosts. If total
// is zero, calls are not limited.
func New(total float64, now time.Time) *Limiter {
	l := &Limiter{total: total, hosts: 1, at: now}
	l.rate = l.ceiling()
	l.tokens = l.burst()
	return l
}

// SetHosts sets the number of hosts that call the service.
func (l *Limiter) SetHosts(n int) {
	n = max(n, 1)
	if n == l.hosts {
		return
	}
	wasLargest := l.rate >= l.ceiling()
	l.hosts = n
	if wasLargest || l.rate > l.ceiling() {
		l.rate = l.ceiling()
	}
}

// share is the equal share of one host, in calls per second.
func (l *Limiter) share() float64 { return l.total / float64(l.hosts) }

// ceiling is the rate of a host while no call is refused.
func (l *Limiter) ceiling() float64 { return min(maxShares*l.share(), l.total) }

func (l *Limiter) burst() float64 { return max(l.rate*burstTime.Seconds(), minBurst) }

// Take admits a call, or returns the time after which one may be admitted.
func (l *Limiter) Take(c Class, now time.Time) time.Duration {
	if l.total <= 0 {
		return 0
	}
	l.advance(now)
	needed := 1.0
	if c == Background {
		needed += backgroundReserve * l.burst()
	}
	if l.tokens >= needed {
		l.tokens--
		return 0
	}
	return max(time.Duration((needed-l.tokens)/l.rate*float64(time.Second)), minWait)
}

// advance adds the tokens of the time that has passed. The rate grows meanwhile, unless all calls
// are refused.
func (l *Limiter) advance(now time.Time) {
	passed := now.Sub(l.at).Seconds()
	if passed <= 0 {
		return
	}
	l.at = now
	l.tokens = min(l.tokens+passed*l.rate, l.burst())
	if !l.isRefusedOnly {
		l.rate = min(l.rate+passed*growthPerSecond*l.share(), l.ceiling())
	}
}

// Refused records that the service has refused a call for its rate.
func (l *Limiter) Refused(now time.Time) {
	if l.total <= 0 {
		return
	}
	l.advance(now)
	if !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < refusalWindow {
		return
	}
	l.refusedAt = now
	switch {
	case !l.isRefusedOnly:
		l.isRefusedOnly, l.loweredAt = true, now
	case now.Sub(l.loweredAt) >= turnedAwayInterval:
		// Not even the equal share is accepted, as by a service that turns this host away.
		l.loweredAt = now
		l.rate = max(l.rate/2, min(minPerSecond, l.rate))
	}
	if floor := refusedShare * l.share(); l.rate > floor {
		l.rate = max(refusedFactor*l.rate, floor)
	}
	l.tokens = min(l.tokens, l.burst())
}

// Answered records that the service has carried out a call.
func (l *Limiter) Answered() {
	if l.isRefusedOnly {
		l.isRefusedOnly = false
		l.rate = min(max(l.rate, refusedShare*l.share()), l.ceiling())
	}
}

// Rate returns the current rate, in calls per second; zero if calls are not limited.
func (l *Limiter) Rate() float64 {
	if l.total <= 0 {
		return 0
	}
	return l.rate
}
