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
)

// Counter counts the requests of all hosts at one target. The zero value is an idle
// target. It is not safe for concurrent use.
type Counter struct {
	// leases holds when the requests in progress stop counting if they are not
	// finished before.
	leases map[uint64]time.Time
	failed failure.Share
	// reportedAt holds when each host last reported a failure.
	reportedAt map[uint64]time.Time
}

// Admit counts a request if fewer than limit are in progress and the target is not
// suspect. A limit of zero admits the request in any case. The request counts until it
// is finished, and for ttl or maxLeaseTTL at most, since the host that sent it may end.
func (c *Counter) Admit(lease uint64, limit int, ttl time.Duration, now time.Time) Reply {
	c.expire(now)
	r := Reply{InProgress: len(c.leases), IsSuspect: c.isSuspect(now)}
	r.Admitted = limit == 0 || r.InProgress < limit && !r.IsSuspect
	if r.Admitted {
		if c.leases == nil {
			c.leases = make(map[uint64]time.Time)
		}
		c.leases[lease] = now.Add(min(ttl, maxLeaseTTL))
	}
	return r
}

// Finish ends a request of a host. Its result counts also if the request was not
// admitted here.
func (c *Counter) Finish(lease, host uint64, r Result, now time.Time) {
	delete(c.leases, lease)
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

func (c *Counter) expire(now time.Time) {
	for lease, until := range c.leases {
		if !now.Before(until) {
			delete(c.leases, lease)
		}
	}
}
