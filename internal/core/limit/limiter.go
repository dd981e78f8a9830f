// Package limit bounds how many concurrent calls one host has at one target. Each host
// adapts its own limit to the latency and the busy answers that it observes. These are
// the same for all hosts, so that they share the target without communication.
package limit

import (
	"math"
	"time"
)

const (
	// minLimit is the minimum limit. One call at a time is enough to observe the
	// target.
	minLimit = 1
	// latencyTolerance is the time to the first token, as a multiple of the expected
	// one, up to which a target counts as uncongested.
	latencyTolerance = 2.0
	// latencySlack is added to the tolerated time to the first token.
	latencySlack = 50 * time.Millisecond
	// minGradient is the minimum factor by which one slow answer reduces the limit.
	minGradient = 0.7
	// busyFactor is the factor of the limit after a busy answer.
	busyFactor = 0.7
	// queuedShare is the number of calls that may wait at a target, as a share of its
	// concurrency.
	queuedShare = 0.25
	// queuedFactor is the factor of the limit after a report of more waiting calls.
	queuedFactor = 0.8
	// cooldown is the minimum time between two reductions of the limit.
	cooldown = 200 * time.Millisecond
)

// Limiter is the adaptive concurrency limit of one host at one target. It is
// not safe for concurrent use.
type Limiter struct {
	limit     float64
	max       float64
	reducedAt time.Time
	// hasQueue is set if calls waited at the target at its last report.
	hasQueue bool
}

// New returns a limiter that starts at an even share of the target's concurrency, so
// that all hosts together do not exceed the concurrency.
func New(concurrency, hosts int) *Limiter {
	l := &Limiter{}
	l.limit = share(concurrency, hosts)
	l.max = math.Max(minLimit, float64(concurrency))
	return l
}

func share(concurrency, hosts int) float64 {
	return math.Max(minLimit, float64(concurrency)/math.Max(1, float64(hosts)))
}

// Limit returns how many calls may run concurrently, at least one.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetMax sets the concurrency of the target, which is the maximum of the limit.
func (l *Limiter) SetMax(concurrency int) {
	l.max = math.Max(minLimit, float64(concurrency))
	l.limit = math.Min(l.limit, l.max)
}

// Observe adapts the limit to the time to the first token of a finished call. expected
// is that of an idle target, and running is the number of calls that ran at the same
// time, including the call itself. After as many fast answers as the limit it grows by
// one, provided that at least half of it is in use. A slow answer reduces it by the
// ratio of the tolerated to the observed time.
func (l *Limiter) Observe(now time.Time, firstToken, expected time.Duration, running int) {
	allowed := time.Duration(latencyTolerance*float64(expected)) + latencySlack
	if firstToken <= allowed {
		l.grow(running)
		return
	}
	gradient := float64(allowed) / float64(firstToken)
	l.reduce(now, math.Max(minGradient, gradient))
}

func (l *Limiter) grow(running int) {
	if l.hasQueue || float64(running) < l.limit/2 {
		return
	}
	l.limit = math.Min(l.max, l.limit+1/l.limit)
}

// Report adapts the limit to the number of waiting calls that the target reported. The
// limit does not grow while calls wait. It is reduced if more calls wait than a share
// of the concurrency; all hosts receive the same report and reduce their limits alike.
func (l *Limiter) Report(now time.Time, queued int) {
	l.hasQueue = queued > 0
	if float64(queued) > queuedShare*l.max {
		l.reduce(now, queuedFactor)
	}
}

// Busy reduces the limit after the target refused a call because of its load.
func (l *Limiter) Busy(now time.Time) { l.reduce(now, busyFactor) }

// Reset reduces the limit to at most the even share, after the target restarted.
func (l *Limiter) Reset(hosts int) { l.limit = math.Min(l.limit, share(int(l.max), hosts)) }

func (l *Limiter) reduce(now time.Time, factor float64) {
	if now.Sub(l.reducedAt) < cooldown {
		return
	}
	l.reducedAt = now
	l.limit = math.Max(minLimit, l.limit*factor)
}
