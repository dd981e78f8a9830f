// Package reach decides whether a host has lost its path to all targets. It performs no I/O.
//
// It answers two loads: requests that wait on open connections which have gone silent, and
// requests that dial one target after another.
package reach

import "time"

// State is what a host believes of its path to the targets.
type State int

const (
	// Connected hosts reach targets.
	Connected State = iota
	// Refused hosts open no new connections, but open ones carry data.
	Refused
	// CutOff hosts reach no target.
	CutOff
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"connected", "refused", "cut off"}[s] }

const (
	// minFailedTargets is how many targets must have failed to accept a connection, without
	// another one that did, for a host to examine its path.
	minFailedTargets = 2
	// failureTTL is how long a failed connection attempt counts.
	failureTTL = 3 * time.Second
	// silence is how long no target must have sent anything, while requests wait for
	// answers, for a host to examine its path.
	silence = 400 * time.Millisecond
	// dataTTL is how long data that was received shows that open connections work.
	dataTTL = time.Second
)

// Monitor holds the signs of a lost path. It is not safe for concurrent use.
type Monitor struct {
	state State
	// failed holds the targets that have accepted no connection since one did, and when.
	failed map[string]time.Time
	// waiting holds when the requests without an answer were sent.
	waiting map[int]time.Time
	next    int
	// receivedAt is when data last arrived from any target.
	receivedAt time.Time
}

// New returns the monitor of a host that reaches targets.
func New() *Monitor {
	return &Monitor{failed: make(map[string]time.Time), waiting: make(map[int]time.Time)}
}

// State returns what the host believes.
func (m *Monitor) State() State { return m.state }

// Failed records that a target has accepted no connection.
func (m *Monitor) Failed(target string, now time.Time) { m.failed[target] = now }

// Connected records that a target has accepted a connection.
func (m *Monitor) Connected() {
	clear(m.failed)
	m.state = Connected
}

// Received records that data has arrived from a target.
func (m *Monitor) Received(now time.Time) {
	if now.After(m.receivedAt) {
		m.receivedAt = now
	}
}

// Wait records that a request waits for an answer from now on. Answered ends the wait.
func (m *Monitor) Wait(now time.Time) int {
	m.next++
	m.waiting[m.next] = now
	return m.next
}

// Answered ends a wait, whether or not an answer has come.
func (m *Monitor) Answered(wait int) { delete(m.waiting, wait) }

// Sign is a sign that a host has lost its path.
type Sign int

const (
	// None means that there is no sign.
	None Sign = iota
	// Silence means that requests wait and no target has sent anything, as when all of them
	// are slow.
	Silence
	// Failures means that several targets have accepted no connection, or that the path was
	// found to be lost before.
	Failures
)

// Suspects returns whether the host should examine its path, and for which sign.
func (m *Monitor) Suspects(now time.Time) Sign {
	for target, at := range m.failed {
		if now.Sub(at) > failureTTL {
			delete(m.failed, target)
		}
	}
	switch {
	case m.state != Connected || len(m.failed) >= minFailedTargets:
		return Failures
	case m.isSilent(now):
		return Silence
	}
	return None
}

// isSilent reports whether a request has waited for an answer while no target sent anything.
func (m *Monitor) isSilent(now time.Time) bool {
	if now.Sub(m.receivedAt) < silence {
		return false
	}
	for _, since := range m.waiting {
		if now.Sub(since) >= silence {
			return true
		}
	}
	return false
}

// HasFailed reports whether a target has failed to accept a connection lately.
func (m *Monitor) HasFailed(target string) bool {
	_, hasFailed := m.failed[target]
	return hasFailed
}

// Examined records that none of several targets has accepted a connection in an examination
// that began at a time. It returns the new state.
func (m *Monitor) Examined(began, now time.Time) State {
	m.state = CutOff
	if m.receivedAt.After(began) || now.Sub(m.receivedAt) < dataTTL && !m.isSilent(now) {
		m.state = Refused
	}
	return m.state
}
