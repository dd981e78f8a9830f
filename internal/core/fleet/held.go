package fleet

import (
	"slices"
	"time"
)

const (
	// maxHeld limits the failed requests that a target is held to be running.
	maxHeld = 64
	// maxAnswerTime limits how long a failed request counts.
	maxAnswerTime = 3 * time.Second
	// maxFailedShare is the highest share of failures that is regarded, so that a target which
	// has failed all requests still gets some.
	maxFailedShare = 0.9
	// answerGain is the weight of one answer in the mean time of a service's answers.
	answerGain = 0.1
)

// hold counts a request that the target has failed or refused as in progress until an answer
// would have come. Otherwise a target that fails requests at once would have the fewest of
// them in flight, and get the most.
func (f *Fleet) hold(c *Choice, now time.Time) {
	until := c.sentAt.Add(min(f.answerTimes[c.Service], maxAnswerTime))
	if until.After(now) && len(c.target.held) < maxHeld {
		c.target.held = append(c.target.held, until)
	}
}

// recordAnswerTime adds the time of an answer to the mean of its service.
func (f *Fleet) recordAnswerTime(service string, took time.Duration) {
	mean, ok := f.answerTimes[service]
	if !ok {
		mean = took
	}
	f.answerTimes[service] = mean + time.Duration(answerGain*float64(took-mean))
}

// load returns the requests of this host at the target, those that it holds included. At a
// target that has failed requests recently it is higher by as many as will probably fail.
func (t *Target) load(now time.Time) float64 {
	t.held = slices.DeleteFunc(t.held, func(until time.Time) bool { return !until.After(now) })
	load := float64(t.inFlight + len(t.held))
	if t.isSuspect(now) {
		load = (load+1)/(1-min(t.failed.Value(now), maxFailedShare)) - 1
	}
	return load
}
