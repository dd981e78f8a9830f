// Package occupancy decides how the requests of many hosts spread over the targets of a
// service. Each host sees a small part of the requests, so that its own counts say
// little about how full a target is. One host counts the requests of all hosts at a
// target (Counter); the hosts that send requests compare the counts of the targets that
// a request prefers (Bound). The package performs no I/O.
package occupancy

import (
	"maps"
	"time"

	"yuccausher/internal/core/failure"
)

// Reply is the answer to a request for admission at a target.
type Reply struct {
	Admitted bool
	// InProgress is the number of other requests in progress at the target.
	InProgress int
	// IsSuspect is set if the target has failed a request recently.
	IsSuspect bool
}

// Result is how a request ended, as far as it concerns the target.
type Result int

// The results.
const (
	// Inconclusive requests say nothing about the target.
	Inconclusive Result = iota
	Answered
	Failed
)

const (
	// minReporters is how many hosts must have reported failures for a target to be
	// suspect: a single host may have lost its own path to the target.
	minReporters = 2
	// reportTTL is how long a report of a failure counts.
	reportTTL = 4 * time.Second
	// maxLeaseTTL limits how long a request counts that is never finished.
	maxLeaseTTL = time.Minute
	// initialAnswerTime is the assumed time of an answer until one has come; it is that of a
	// short answer of an engine.
	initialAnswerTime = 500 * time.Millisecond
	// maxAnswerTime limits how long a request counts after the target has failed it.
	maxAnswerTime = 3 * time.Second
	// answerGain is the weight of one answer in the mean time of answers.
	answerGain = 0.1
)

// Counter counts the requests of all hosts at one target. The zero value is an idle
// target. It is not safe for concurrent use.
type Counter struct {
	// leases holds the requests in progress.
	leases map[uint64]lease
	// area is the integral of the number of requests in progress over time until areaAt, in
	// request-seconds.
	area   float64
	areaAt time.Time
	// answerTime is the mean time of answers; zero if there was none.
	answerTime time.Duration
	failed     failure.Share
	// reportedAt holds when each host last reported a failure.
	reportedAt map[uint64]time.Time
}

// lease is a request in progress.
type lease struct {
	// until is when it stops counting if it is not finished before.
	until time.Time
	// admittedAt and area are the time and the counter's area when it was admitted.
	admittedAt time.Time
	area       float64
}

// Admit counts a request if fewer than limit are in progress and the target is not
// suspect. A limit of zero admits the request in any case. The request counts until it
// is finished, and for ttl or maxLeaseTTL at most, since the host that sent it may end.
func (c *Counter) Admit(id uint64, limit int, ttl time.Duration, now time.Time) Reply {
	c.expire(now)
	r := Reply{InProgress: len(c.leases), IsSuspect: c.isSuspect(now)}
	r.Admitted = limit == 0 || r.InProgress < limit && !r.IsSuspect
	if r.Admitted {
		if c.leases == nil {
			c.leases = make(map[uint64]lease)
		}
		c.leases[id] = lease{until: now.Add(min(ttl, maxLeaseTTL)), admittedAt: now, area: c.area}
	}
	return r
}

// MeanLoad returns the mean number of requests in progress since a request was admitted, that
// request included. It returns false if the request is not in progress here.
func (c *Counter) MeanLoad(id uint64, now time.Time) (float64, bool) {
	c.expire(now)
	l, ok := c.leases[id]
	if !ok || !now.After(l.admittedAt) {
		return 0, false
	}
	return (c.area - l.area) / now.Sub(l.admittedAt).Seconds(), true
}

// Hold ends a request that the target has failed or refused, but counts it until an answer
// would have come. Otherwise a target that fails requests at once would have the fewest in
// progress, and get the most requests.
func (c *Counter) Hold(id uint64, now time.Time) {
	l, ok := c.leases[id]
	if !ok {
		return
	}
	answerTime := c.answerTime
	if answerTime == 0 {
		answerTime = initialAnswerTime
	}
	l.until = l.admittedAt.Add(min(answerTime, maxAnswerTime))
	c.leases[id] = l
	c.expire(now)
}

// Finish ends a request of a host; one that the target has failed as Hold does. Its result
// counts also if the request was not admitted here.
func (c *Counter) Finish(id, host uint64, r Result, now time.Time) {
	c.expire(now)
	if r == Answered {
		c.recordAnswerTime(id, now)
	}
	if r == Failed {
		c.Hold(id, now)
	} else {
		delete(c.leases, id)
	}
	switch r {
	case Answered:
		c.failed.RecordSuccess(now)
	case Failed:
		c.failed.RecordFailure(now)
		if c.reportedAt == nil {
			c.reportedAt = make(map[uint64]time.Time)
		}
		c.reportedAt[host] = now
	}
}

func (c *Counter) recordAnswerTime(id uint64, now time.Time) {
	l, ok := c.leases[id]
	if !ok {
		return
	}
	took := now.Sub(l.admittedAt)
	if c.answerTime == 0 {
		c.answerTime = took
	}
	c.answerTime += time.Duration(answerGain * float64(took-c.answerTime))
}

// isSuspect reports whether requests of several hosts have failed recently.
func (c *Counter) isSuspect(now time.Time) bool {
	maps.DeleteFunc(c.reportedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > reportTTL })
	return len(c.reportedAt) >= minReporters && c.failed.IsSuspect(now)
}

// IsIdle reports whether the counter holds nothing that a new one would not.
func (c *Counter) IsIdle(now time.Time) bool {
	c.expire(now)
	return len(c.leases) == 0 && !c.isSuspect(now)
}

// expire removes the requests that have stopped counting and advances the area.
func (c *Counter) expire(now time.Time) {
	if c.areaAt.IsZero() {
		c.areaAt = now
	}
	before := c.areaAt
	if now.After(before) {
		c.area += float64(len(c.leases)) * now.Sub(before).Seconds()
		c.areaAt = now
	}
	for id, l := range c.leases {
		if now.Before(l.until) {
			continue
		}
		if l.until.Before(before) {
			l.until = before
		}
		c.area -= max(now.Sub(l.until).Seconds(), 0)
		delete(c.leases, id)
	}
}
