package routing

import "time"

const (
	// drainingHold is how long a draining answer counts without another sign.
	drainingHold = 30 * time.Second
	// firstProbe and lastProbe bound the time until a lost target is tried
	// again; the time doubles with each failure.
	firstProbe = time.Second
	lastProbe  = 16 * time.Second
	// missedReports is how many reports in a row may fail before a target
	// counts as lost.
	missedReports = 2
)

// Health derives the state of one target from its signs. It is not safe for
// concurrent use. The zero value is healthy.
type Health struct {
	// Listed says that the platform's list calls the target leaving.
	ListedLeaving bool
	// reported says that the target's own report calls it leaving.
	reported     bool
	drainingTill time.Time
	shaken       bool
	failures     int
	downTill     time.Time
}

// Draining takes an answer by which the target refused work as it is leaving.
func (h *Health) Draining(now time.Time) { h.drainingTill = now.Add(drainingHold) }

// Refused takes a refused dial.
func (h *Health) DialRefused(now time.Time) {
	pause := firstProbe << min(h.failures, 4)
	h.failures++
	h.downTill = now.Add(min(pause, lastProbe))
}

// Broken takes a connection that ended early.
func (h *Health) ConnectionBroken() { h.shaken = true }

// Answered takes a whole answer.
func (h *Health) Answered() {
	h.shaken = false
	h.failures = 0
	h.downTill = time.Time{}
}

// Reported takes a report that arrived.
func (h *Health) ReportReceived(leaving bool) {
	h.Answered()
	h.reported = leaving
	if !leaving {
		return
	}
	h.drainingTill = time.Time{}
}

// Missed takes a report that failed to arrive.
func (h *Health) ReportMissed(now time.Time) {
	h.shaken = true
	h.failures++
	if h.failures >= missedReports {
		h.downTill = now.Add(lastProbe)
	}
}

// State returns the state at a time.
func (h *Health) State(now time.Time) State {
	switch {
	case h.ListedLeaving, h.reported, now.Before(h.drainingTill):
		return Leaving
	case now.Before(h.downTill):
		return Down
	case h.shaken, h.failures > 0:
		return Suspect
	}
	return Healthy
}
