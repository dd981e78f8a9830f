// Package fleet tracks the targets of each service as one host sees them and
// chooses the target of a request. Its inputs are the targets' records and the
// answers to the host's own requests; it sends no requests itself.
package fleet

import (
	"time"

	"yuccausher/internal/core/failure"
	"yuccausher/internal/core/ratelimit"
	"yuccausher/internal/core/targetload"
)

// Member is a target's own record.
type Member struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is that of the target's software. Versions have no order.
	Version string
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving targets finish their running requests and accept no new ones.
	Leaving bool
	// StartedAt distinguishes runs of a target under the same ID.
	StartedAt int64
}

// isSameRun reports whether two records belong to the same run of a target.
func (m Member) isSameRun(o Member) bool {
	return m.ID == o.ID && m.StartedAt == o.StartedAt && m.Address == o.Address && m.Service == o.Service && m.Version == o.Version
}

const (
	// latencyFallGain and latencyRiseGain are the weights of one answer in a
	// target's mean latency. The mean rises faster than it falls, since a target
	// that has become slow delays programs.
	latencyFallGain = 0.2
	latencyRiseGain = 0.35
	// initialLatency is assumed until a target has answered, in seconds. It is
	// low, so that new targets get requests.
	initialLatency = 0.02
	// failurePause is how long a target gets no requests after a failed
	// connection attempt. It doubles with each consecutive failure up to
	// maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 3 * time.Second
	// fullPause is how long a target that refused a request as full gets no requests. It
	// is about the time of one request. It doubles with each further refusal up to
	// maxFullPause.
	fullPause    = 60 * time.Millisecond
	maxFullPause = 240 * time.Millisecond
	// failureCost is the delay that a failed request causes its caller, in
	// seconds: a pause of up to 0.4 s, and the time of another request.
	failureCost = 0.5
	// loadCost is the relative increase in the cost of a target whose slots are
	// all taken by this host's requests. Requests of other hosts slow it down further.
	loadCost = 3.0
	// staleAfter is the age at which the part of a mean latency above
	// initialLatency counts half. Without the decay, a target that was slow once
	// would never get requests again.
	staleAfter = 2 * time.Second
)

// Target is one run of a target. Its fields are guarded by the fleet's mutex.
type Target struct {
	Member

	inFlight int
	// unanswered holds the send times of the requests without any part of an
	// answer, the oldest first.
	unanswered []time.Time
	// latency is the mean time to the first byte of an answer, in seconds.
	latency    float64
	observedAt time.Time
	// lastContact is when data last arrived from the target.
	lastContact time.Time
	// failed is the share of requests that the target has failed.
	failed failure.Share
	// failures counts consecutive failed connection attempts.
	failures int
	// pausedUntil is when the target may be chosen again after failures.
	pausedUntil time.Time
	// refusals counts consecutive refusals as full; fullUntil is when the pause after
	// them ends.
	refusals  int
	fullUntil time.Time
	// held holds until when requests count that the target has failed or refused at once.
	held []time.Time
	// learned is what all hosts' requests have shown of the target, up to learnedAt.
	learned   targetload.Estimate
	learnedAt time.Time
	// limit is the rate limit that the target has named.
	limit ratelimit.Limit
	// deniedUntil is when the target may get a request again under its rate limit.
	deniedUntil time.Time
	// announcedLeaving is set if the target has announced in an answer that it is
	// leaving. It takes precedence over the record.
	announcedLeaving bool
	// lapsedUntil is set while the target's record is missing but may be restored,
	// because it lapsed in an outage of the store. Until then the target stays in
	// use. It is zero while the record exists.
	lapsedUntil time.Time
}

// unloadedCost returns the expected time of a request at the target without this
// host's load, in seconds. It is only meaningful in comparison to other targets.
func (t *Target) unloadedCost(now time.Time) float64 {
	latency := t.latency
	if latency == 0 {
		latency = initialLatency
	}
	if age := now.Sub(t.observedAt); age > staleAfter && latency > initialLatency {
		periods := float64(age) / float64(staleAfter)
		latency = initialLatency + (latency-initialLatency)/(1+periods)
	}
	// A pending request shows that the target has become slow before its answer
	// arrives.
	return max(latency, t.longestWait(now))
}

// isSuspect reports whether a request to the target has failed recently.
func (t *Target) isSuspect(now time.Time) bool { return t.failed.IsSuspect(now) }

// longestWait returns the age of the oldest unanswered request, in seconds.
func (t *Target) longestWait(now time.Time) float64 {
	if len(t.unanswered) == 0 {
		return 0
	}
	return now.Sub(t.unanswered[0]).Seconds()
}

// isSlow reports whether the target is much slower than the median latency of
// the targets that have answered, in seconds. A target that has not answered yet
// only counts as slow if a request has waited longer than initialLatency.
func (t *Target) isSlow(now time.Time, median float64) bool {
	if median == 0 || t.latency == 0 && t.longestWait(now) <= initialLatency {
		return false
	}
	return t.unloadedCost(now) > slowFactor*median
}

// cost returns the expected time of a request at a target with this host's load on it, in
// seconds. It is only meaningful in comparison to other targets.
func (f *Fleet) cost(t *Target, now time.Time) float64 {
	limit, _ := f.capacity(t, now)
	load := float64(t.inFlight) / float64(limit)
	return t.unloadedCost(now)*(1+loadCost*load) + failureCost*t.failed.Value(now) + f.streamTime(t, now)
}

func (t *Target) isFull(now time.Time) bool { return now.Before(t.fullUntil) }

func (t *Target) isPauseOver(now time.Time) bool { return now.After(t.pausedUntil) }

// isUsable reports whether the target may get requests at all.
func (t *Target) isUsable(now time.Time) bool {
	return !t.Leaving && (t.lapsedUntil.IsZero() || now.Before(t.lapsedUntil))
}

// Outcome is how a dispatch to a target ended.
type Outcome int

// The outcomes of a dispatch.
const (
	// Answered dispatches got a complete answer.
	Answered Outcome = iota
	// Abandoned dispatches were cancelled by the caller or by a time limit.
	Abandoned
	// Full targets refused the request without running it.
	Full
	// Unreachable targets accepted no connection.
	Unreachable
	// Broken answers were cut off, were malformed or never arrived.
	Broken
	// Failed answers are complete and report a failure of the target.
	Failed
	// Replaced means that another target answered at the address.
	Replaced
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"answered", "abandoned", "full", "unreachable", "broken", "failed", "replaced"}[o]
}

// observe updates the target's statistics with the outcome of a dispatch. first
// is the time to the first byte, zero if there was none.
func (t *Target) observe(now time.Time, o Outcome, first time.Duration) {
	switch o {
	case Answered, Failed, Full, Replaced:
		t.lastContact = now
	}
	if first > 0 {
		t.observedAt = now
		if t.latency == 0 {
			t.latency = first.Seconds()
		}
		gain := latencyFallGain
		if first.Seconds() > t.latency {
			gain = latencyRiseGain
		}
		t.latency += gain * (first.Seconds() - t.latency)
	}
	switch o {
	case Answered:
		t.failures, t.refusals = 0, 0
		t.failed.RecordSuccess(now)
	case Full:
		t.fullUntil = now.Add(min(fullPause<<min(t.refusals, 8), maxFullPause))
		t.refusals++
	case Failed:
		t.failures = 0
		t.failed.RecordFailure(now)
	case Broken:
		t.failed.RecordFailure(now)
	case Unreachable:
		t.recordConnectFailure(now)
	case Replaced:
		t.pausedUntil = now.Add(maxFailurePause)
	}
}

// recordConnectFailure pauses the target after a failed connection attempt.
func (t *Target) recordConnectFailure(now time.Time) {
	pause := min(failurePause<<min(t.failures, 8), maxFailurePause)
	t.failures++
	t.pausedUntil = now.Add(pause)
}
