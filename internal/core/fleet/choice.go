package fleet

import (
	"slices"
	"time"
)

// Choice is the target chosen for one dispatch. End must be called once.
type Choice struct {
	Member
	// Cost is the target's expected time at the time of the choice, without the
	// costs of a prefix miss or of the distance. InFlight is how many requests of
	// this host the target had before this one.
	Cost          time.Duration
	InFlight      int
	fleet         *Fleet
	target        *Target
	sentAt        time.Time
	answerStarted bool
}

// Received records that a part of the answer has arrived.
func (c *Choice) Received(now time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.markAnswerStarted()
	c.target.lastContact = now
}

// SilentFor returns the time since the target last sent data to this host for any
// request, or since this request was sent if that is later.
func (c *Choice) SilentFor(now time.Time) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if c.target.lastContact.After(c.sentAt) {
		return now.Sub(c.target.lastContact)
	}
	return now.Sub(c.sentAt)
}

// markAnswerStarted removes the request from the unanswered ones.
func (c *Choice) markAnswerStarted() {
	if c.answerStarted {
		return
	}
	c.answerStarted = true
	u := c.target.unanswered
	if i := slices.Index(u, c.sentAt); i >= 0 {
		c.target.unanswered = slices.Delete(u, i, i+1)
	}
}

// End records the outcome of the dispatch. first is the time to the first byte,
// zero if there was none.
func (c *Choice) End(now time.Time, o Outcome, first time.Duration) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.target.inFlight--
	if waited := now.Sub(c.sentAt); o == Abandoned && !c.answerStarted && first == 0 && waited.Seconds() > c.target.latency {
		// The wait is a lower bound of the latency. Without it, requests to a target
		// that never answers would not change its mean latency.
		first = waited
	}
	c.markAnswerStarted()
	switch o {
	case Answered:
		c.fleet.recordAnswerTime(c.Service, now.Sub(c.sentAt))
	case Full, Unreachable, Broken, Failed, Replaced:
		c.fleet.hold(c, now)
	}
	c.target.observe(now, o, first)
}
