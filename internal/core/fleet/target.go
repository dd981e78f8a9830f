// Package fleet keeps what a host knows of the targets of each service and
// chooses the target of a request. It learns from the targets' own records and
// from the answers to the host's requests; it asks nobody.
package fleet

import (
	"math"
	"time"
)

// Member is what a target says of itself.
type Member struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving targets finish what they have and take nothing new.
	Leaving bool
	// StartedAt tells starts under the same ID apart.
	StartedAt int64
}

// isSameStart says whether two records are of one run of a target.
func (m Member) isSameStart(o Member) bool {
	return m.ID == o.ID && m.StartedAt == o.StartedAt && m.Address == o.Address && m.Service == o.Service
}

const (
	// fallGain and riseGain are the weights of one answer in a target's mean
	// latency. A target that has become slow is noticed sooner than one that
	// has recovered, since the former holds up programs.
	fallGain = 0.2
	riseGain = 0.35
	// initialLatency is assumed until a target has answered, in seconds. It is
	// low, so that a new target is tried.
	initialLatency = 0.02
	// failurePause is how long a target that failed to connect is left alone;
	// it doubles with each failure in a row up to maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 3 * time.Second
	// fullPause is how long a target that refused a request as full is left
	// alone while others have room: about the time of one request.
	fullPause = 60 * time.Millisecond
	// brokenGain and wholeGain are the weights of one answer in the share of
	// failed ones. The first failure counts much, since each may end a program,
	// and targets that fail do so for seconds.
	brokenGain = 0.25
	wholeGain  = 0.1
	// brokenHalfLife is when a share of failures counts as half, so that a target
	// that is left alone is tried again.
	brokenHalfLife = 3 * time.Second
	// failureCost is what a failed request costs its caller, in seconds: a pause of
	// up to 0.4 s, and the time of another request.
	failureCost = 0.5
	// suspectShare is the share of failures from which on plain requests go to
	// other targets first: that of one failure, for four seconds.
	suspectShare = 0.1
	// loadCost is how much slower a target counts whose slots are all taken by
	// this host's requests. Others' requests come on top.
	loadCost = 3.0
	// staleAfter is when a mean that is much above the others' counts as half;
	// without it a target that was slow once would never be tried again.
	staleAfter = 2 * time.Second
)

// Target is one run of a target. Its fields are guarded by the fleet.
type Target struct {
	Member

	inFlight int
	// waiting holds when the requests were sent that have had no answer yet,
	// the oldest first.
	waiting []time.Time
	// latency is the mean time to the first byte of an answer, in seconds.
	latency    float64
	observedAt time.Time
	// heardAt is when anything last came from the target.
	heardAt time.Time
	// broken is the share of answers that broke off, never came or said that the
	// target failed, as of brokenAt.
	broken   float64
	brokenAt time.Time
	failures int
	// pausedUntil is when the target may be chosen again after failures.
	pausedUntil time.Time
	fullUntil   time.Time
	// saidLeaving says that the target has said so in an answer, whatever its record
	// says.
	saidLeaving bool
	// heldUntil is set while the target's record is gone but may come back,
	// because it lapsed in an outage of the store; zero if it stands.
	heldUntil time.Time
}

// restingCost is the expected time of a request at the target without this
// host's load, relative to others, in seconds.
func (t *Target) restingCost(now time.Time) float64 {
	latency := t.latency
	if latency == 0 {
		latency = initialLatency
	}
	if age := now.Sub(t.observedAt); age > staleAfter && latency > initialLatency {
		halvings := float64(age) / float64(staleAfter)
		latency = initialLatency + (latency-initialLatency)/(1+halvings)
	}
	// A request that waits tells sooner than its answer will that the target has
	// become slow.
	return max(latency, t.longestWait(now))
}

// brokenShare is the share of failed answers, which fades in time.
func (t *Target) brokenShare(now time.Time) float64 {
	if t.broken == 0 {
		return 0
	}
	return t.broken * math.Exp2(-float64(now.Sub(t.brokenAt))/float64(brokenHalfLife))
}

// isSuspect says whether a plain target has failed a moment ago.
func (t *Target) isSuspect(now time.Time) bool { return t.brokenShare(now) > suspectShare }

// moveBroken moves the share of failed answers to a value by a weight.
func (t *Target) moveBroken(now time.Time, to, gain float64) {
	share := t.brokenShare(now)
	t.broken, t.brokenAt = share+gain*(to-share), now
}

// longestWait is how long the oldest request waits that has had no answer, in
// seconds.
func (t *Target) longestWait(now time.Time) float64 {
	if len(t.waiting) == 0 {
		return 0
	}
	return now.Sub(t.waiting[0]).Seconds()
}

// isSlow says whether a plain target is much slower than the median of those that
// have answered, in seconds. One that is not known yet is not slow.
func (t *Target) isSlow(now time.Time, median float64) bool {
	if median == 0 || t.latency == 0 && t.longestWait(now) <= initialLatency {
		return false
	}
	return t.restingCost(now) > slowFactor*median
}

// cost is the expected time of a request at the target with what this host has
// there already, relative to others, in seconds.
func (t *Target) cost(now time.Time) float64 {
	load := float64(t.inFlight) / float64(t.Slots)
	return t.restingCost(now)*(1+loadCost*load) + failureCost*t.brokenShare(now)
}

func (t *Target) isOpen(now time.Time) bool { return now.After(t.pausedUntil) }

// isUsable says whether the target may get requests at all.
func (t *Target) isUsable(now time.Time) bool {
	return !t.Leaving && (t.heldUntil.IsZero() || now.Before(t.heldUntil))
}

// Outcome is how a dispatch to a target ended.
type Outcome int

// The outcomes of a dispatch.
const (
	// Answered dispatches got a whole answer.
	Answered Outcome = iota
	// Abandoned dispatches were given up by the caller or by a time limit.
	Abandoned
	// Full targets refused the request without running it.
	Full
	// Unreachable targets took no connection.
	Unreachable
	// Broken answers were cut off, garbled or never came.
	Broken
	// Failed answers are whole and say that the target failed.
	Failed
	// Replaced addresses answered for another target.
	Replaced
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "abandoned", "full", "unreachable", "broken", "failed", "replaced"}[o]
}

// observe takes the outcome of a dispatch. first is the time to the first
// byte, zero if there was none.
func (t *Target) observe(now time.Time, o Outcome, first time.Duration) {
	switch o {
	case Answered, Failed, Full, Replaced:
		t.heardAt = now
	}
	if first > 0 {
		t.observedAt = now
		if t.latency == 0 {
			t.latency = first.Seconds()
		}
		gain := fallGain
		if first.Seconds() > t.latency {
			gain = riseGain
		}
		t.latency += gain * (first.Seconds() - t.latency)
	}
	switch o {
	case Answered:
		t.failures = 0
		t.moveBroken(now, 0, wholeGain)
	case Full:
		t.fullUntil = now.Add(fullPause)
	case Failed:
		t.failures = 0
		t.moveBroken(now, 1, brokenGain)
	case Broken:
		t.moveBroken(now, 1, brokenGain)
	case Unreachable:
		t.fail(now)
	case Replaced:
		t.pausedUntil = now.Add(maxFailurePause)
	}
}

func (t *Target) fail(now time.Time) {
	pause := min(failurePause<<min(t.failures, 8), maxFailurePause)
	t.failures++
	t.pausedUntil = now.Add(pause)
}
