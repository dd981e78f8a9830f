package sched

import (
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/retention"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// denials are the reasons for denying a retry.
var denials = []string{"no_failure", "not_idempotent", "final", "attempts", "poisoned", "no_target", "deadline", "budget"}

var failures = []port.Failure{
	port.FailureRefused, port.FailureBusy, port.FailureDraining, port.FailureBroken,
	port.FailureMismatch, port.FailureTimeout, port.FailureRejected, port.FailureFenced,
}

// metrics holds the scheduler's counters.
type metrics struct {
	heldForPrefix tally.Counter
	granted       tally.Counter
	refusals      map[fault.Type]tally.Counter
	failures      map[port.Failure]tally.Counter
	retries       map[port.Failure]tally.Counter
	denials       map[string]tally.Counter
	retention     map[retention.Action]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		heldForPrefix: scope.Counter("held_for_prefix"),
		granted:       scope.Counter("granted"),
		refusals:      make(map[fault.Type]tally.Counter),
		failures:      make(map[port.Failure]tally.Counter),
		retries:       make(map[port.Failure]tally.Counter),
		denials:       make(map[string]tally.Counter),
		retention:     make(map[retention.Action]tally.Counter),
	}
	for _, t := range fault.Types {
		m.refusals[t] = scope.Tagged(map[string]string{"type": string(t)}).Counter("refusals")
	}
	for _, f := range failures {
		tagged := scope.Tagged(map[string]string{"reason": string(f)})
		m.failures[f] = tagged.Counter("target_failures")
		m.retries[f] = tagged.Counter("retries")
	}
	for _, d := range denials {
		m.denials[d] = scope.Tagged(map[string]string{"reason": d}).Counter("retries_denied")
	}
	for _, a := range []retention.Action{retention.Keep, retention.Export, retention.Evict} {
		m.retention[a] = scope.Tagged(map[string]string{"action": a.String()}).Counter("retention")
	}
	return m
}

func (m *metrics) refused(t fault.Type)                { m.refusals[t].Inc(1) }
func (m *metrics) failed(f port.Failure)               { increment(m.failures[f]) }
func (m *metrics) retried(f port.Failure)              { increment(m.retries[f]) }
func (m *metrics) denied(reason string)                { m.denials[reason].Inc(1) }
func (m *metrics) retentionDecided(a retention.Action) { m.retention[a].Inc(1) }

// increment increments a counter. It ignores nil, which a failure outside of failures
// maps to.
func increment(c tally.Counter) {
	if c != nil {
		c.Inc(1)
	}
}
