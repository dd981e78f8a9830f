// Package limit bounds how many calls one host has at one target. Each host
// adapts its own limit from what it observes, so that hosts which never talk
// about a target share it: all see the same latency and the same busy answers.
package limit

import (
	"math"
	"time"
)

const (
	// floor is the least limit: one call at a time keeps the limiter informed.
	minLimit = 1
	// tolerance is the first-token time, as a multiple of the expected one,
	// up to which a target counts as uncongested.
	tolerance = 2.0
	// slack is the delay that never counts as congestion.
	slack = 50 * time.Millisecond
	// gradientFloor bounds how far one slow answer shrinks the limit.
	minGradient = 0.7
	// busyFactor shrinks the limit after a busy answer.
	busyFactor = 0.7
	// queuedShare is the share of the concurrency that may wait at a target.
	queuedShare = 0.25
	// queuedFactor shrinks the limit after a report of more.
	queuedFactor = 0.8
	// cooldown is the least time between two cuts of the limit.
	cooldown = 200 * time.Millisecond
)

// Limiter is the adaptive concurrency limit of one host at one target. It is
// not safe for concurrent use.
type Limiter struct {
	limit   float64
	max     float64
	lastCut time.Time
	// queued says that calls waited at the target at its last report.
	hasQueue bool
}

// New returns a limiter that starts at this host's even share of the target's
// concurrency, which all hosts can use at once without overrunning it.
func New(concurrency, hosts int) *Limiter {
	l := &Limiter{}
	l.limit = share(concurrency, hosts)
	l.max = math.Max(minLimit, float64(concurrency))
	return l
}

func share(concurrency, hosts int) float64 {
	return math.Max(minLimit, float64(concurrency)/math.Max(1, float64(hosts)))
}

// Limit returns how many calls may run at once; at least one.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetMax follows a changed concurrency of the target.
func (l *Limiter) SetMax(concurrency int) {
	l.max = math.Max(minLimit, float64(concurrency))
	l.limit = math.Min(l.limit, l.max)
}

// Observe takes the time to the first token of a finished call, the time
// expected of an idle target, and the calls that ran with it, itself included.
// The limit grows by one per limit of good answers while it is in use, and
// shrinks by the gradient of the latency.
func (l *Limiter) Observe(now time.Time, firstToken, expected time.Duration, running int) {
	allowed := time.Duration(tolerance*float64(expected)) + slack
	if firstToken <= allowed {
		l.grow(running)
		return
	}
	gradient := float64(allowed) / float64(firstToken)
	l.cut(now, math.Max(minGradient, gradient))
}

func (l *Limiter) grow(running int) {
	if l.hasQueue || float64(running) < l.limit/2 {
		return
	}
	l.limit = math.Min(l.max, l.limit+1/l.limit)
}

// Report takes the target's own report. While calls wait at the target the
// limit does not grow. Waiting calls beyond a share of the
// concurrency cut the limit; all hosts see the same report and cut alike.
func (l *Limiter) Report(now time.Time, queued int) {
	l.hasQueue = queued > 0
	if float64(queued) > queuedShare*l.max {
		l.cut(now, queuedFactor)
	}
}

// Busy takes an answer by which the target refused work for its load.
func (l *Limiter) Busy(now time.Time) { l.cut(now, busyFactor) }

// Reset returns to the even share, after the target restarted.
func (l *Limiter) Reset(hosts int) { l.limit = math.Min(l.limit, share(int(l.max), hosts)) }

func (l *Limiter) cut(now time.Time, factor float64) {
	if now.Sub(l.lastCut) < cooldown {
		return
	}
	l.lastCut = now
	l.limit = math.Max(minLimit, l.limit*factor)
}
