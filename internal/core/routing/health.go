package routing

import "time"

const (
	// drainingTimeout is how long a target counts as leaving after an answer said so,
	// unless a report confirms it.
	drainingTimeout = 30 * time.Second
	// minDownTime and maxDownTime bound how long a target stays down after a refused
	// connection. The time doubles with each consecutive failure.
	minDownTime = time.Second
	maxDownTime = 16 * time.Second
	// missesUntilDown is the number of consecutive failures at which a missed report
	// marks the target as down.
	missesUntilDown = 2
)

// Health derives the state of one target from the platform's list, the target's
// reports and the results of calls. It is not safe for concurrent use. The zero
// value is healthy.
type Health struct {
	// ListedLeaving is set if the platform's list marks the target as leaving.
	ListedLeaving bool
	// reportedLeaving is set if the target's own report marks it as leaving.
	reportedLeaving bool
	drainingUntil   time.Time
	suspect         bool
	failures        int
	downUntil       time.Time
}

// Draining records that the target refused a call because it is leaving.
func (h *Health) Draining(now time.Time) { h.drainingUntil = now.Add(drainingTimeout) }

// DialRefused records that the target refused a connection.
func (h *Health) DialRefused(now time.Time) {
	pause := minDownTime << min(h.failures, 4)
	h.failures++
	h.downUntil = now.Add(min(pause, maxDownTime))
}

// ConnectionBroken records that a connection ended early.
func (h *Health) ConnectionBroken() { h.suspect = true }

// Answered records a complete answer.
func (h *Health) Answered() {
	h.suspect = false
	h.failures = 0
	h.downUntil = time.Time{}
}

// ReportReceived records a report and whether it marks the target as leaving.
func (h *Health) ReportReceived(leaving bool) {
	h.Answered()
	h.reportedLeaving = leaving
	if !leaving {
		return
	}
	h.drainingUntil = time.Time{}
}

// ReportMissed records that a report failed to arrive.
func (h *Health) ReportMissed(now time.Time) {
	h.suspect = true
	h.failures++
	if h.failures >= missesUntilDown {
		h.downUntil = now.Add(maxDownTime)
	}
}

// State returns the target's state at a time.
func (h *Health) State(now time.Time) State {
	switch {
	case h.ListedLeaving, h.reportedLeaving, now.Before(h.drainingUntil):
		return Leaving
	case now.Before(h.downUntil):
		return Down
	case h.suspect, h.failures > 0:
		return Suspect
	}
	return Healthy
}
