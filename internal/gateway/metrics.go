package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/upstream"
)

// latencyBuckets are the buckets for the time to the first byte and to the end of an
// answer.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)

// metrics are the gateway's metrics of requests and targets.
type metrics struct {
	scope            tally.Scope
	firstByte        tally.Histogram
	requestTime      tally.Histogram
	staleConnections tally.Counter
	// silentTargets counts dispatches that were cancelled because no answer began.
	silentTargets tally.Counter
	// endedTargets counts targets that ended while they ran a request.
	endedTargets tally.Counter
	// crashedAnswers counts answers that ended with the crash of their target.
	crashedAnswers tally.Counter
	// limitChanges counts changes of the rate limits that targets name, invalidLimits
	// answers with a limit that is not a number or out of range.
	limitChanges, invalidLimits tally.Counter
	// unattributable counts answers that may belong to another request.
	unattributable tally.Counter
	// unexplainedEnds counts requests that ended at a target without a complete answer
	// and without a probe of the target.
	unexplainedEnds tally.Counter
	// cutOffRuns counts requests at targets that this host was cut off from meanwhile.
	cutOffRuns tally.Counter
	// leavingTargets counts targets that announced in an answer that they are leaving.
	leavingTargets tally.Counter
	// furtherReservations counts reservations of turns that began with a part of their most tokens.
	furtherReservations tally.Counter
	// lateSettlements counts answers that ended before the log counted what the turn had
	// spent.
	lateSettlements tally.Counter
	// deniedTurns counts requests that named a turn of another organisation.
	deniedTurns tally.Counter
	// answersOverMemory counts how often the memory for answers was used up.
	answersOverMemory tally.Counter
	organisations     *organisationMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:               scope,
		firstByte:           scope.Histogram("first_byte", latencyBuckets),
		requestTime:         scope.Histogram("request", latencyBuckets),
		staleConnections:    scope.Counter("stale_connections"),
		silentTargets:       scope.Counter("silent_targets"),
		endedTargets:        scope.Counter("ended_targets"),
		crashedAnswers:      scope.Counter("crashed_answers"),
		limitChanges:        scope.Counter("limit_changes"),
		invalidLimits:       scope.Counter("invalid_limits"),
		unattributable:      scope.Counter("unattributable_answers"),
		unexplainedEnds:     scope.Counter("unexplained_ends"),
		cutOffRuns:          scope.Counter("cut_off_runs"),
		leavingTargets:      scope.Counter("leaving_targets"),
		furtherReservations: scope.Counter("further_reservations"),
		lateSettlements:     scope.Counter("late_settlements"),

		deniedTurns:       scope.Counter("denied_turns"),
		answersOverMemory: scope.Counter("answers_over_memory"),
		organisations:     newOrganisationMetrics(scope),
	}
}

// recordRequest counts a request by its outcome and records its latency.
func (m *metrics) recordRequest(j *job, total time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": j.outcome}).Counter("requests").Inc(1)
	if j.isIdentified {
		m.organisations.count(j.organisationName(), j.organisationCount, j.isRefused)
	}
	m.requestTime.RecordDuration(total)
	if j.firstByte > 0 {
		m.firstByte.RecordDuration(j.firstByte)
	}
	if len(j.ranAt) > 1 {
		m.scope.Counter("runs_repeated").Inc(int64(len(j.ranAt) - 1))
	}
}

// countAnswer counts an answer of a target by its framing.
func (m *metrics) countAnswer(f upstream.Framing) {
	m.scope.Tagged(map[string]string{"framing": string(f)}).Counter("answers").Inc(1)
}

// countResumption counts a stream that a target continues, by whether the caller had asked
// for it or the host did so by itself.
func (m *metrics) countResumption(isSameRequest bool) {
	by := "caller"
	if isSameRequest {
		by = "host"
	}
	m.scope.Tagged(map[string]string{"by": by}).Counter("resumed_streams").Inc(1)
}

// recordRefusal counts a dispatch that a target did not run.
func (m *metrics) recordRefusal(o fleet.Outcome) {
	m.scope.Tagged(map[string]string{"reason": o.String()}).Counter("retries").Inc(1)
}
