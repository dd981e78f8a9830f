package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
)

// latencyBuckets bound the time to the first byte and to the end of answers.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)

// metrics counts what becomes of requests.
type metrics struct {
	scope            tally.Scope
	firstByte        tally.Histogram
	requestTime      tally.Histogram
	staleConnections tally.Counter
	// silentTargets counts targets that were left as no answer began.
	silentTargets tally.Counter
	// endedTargets counts targets that ended as they ran a request.
	endedTargets tally.Counter
	// unexplainedEnds counts requests that ended at a target without an answer and
	// without a look for the target.
	unexplainedEnds tally.Counter
	// leavingTargets counts targets that said in an answer that they are leaving.
	leavingTargets tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:            scope,
		firstByte:        scope.Histogram("first_byte", latencyBuckets),
		requestTime:      scope.Histogram("request", latencyBuckets),
		staleConnections: scope.Counter("stale_connections"),
		silentTargets:    scope.Counter("silent_targets"),
		endedTargets:     scope.Counter("ended_targets"),
		unexplainedEnds:  scope.Counter("unexplained_ends"),
		leavingTargets:   scope.Counter("leaving_targets"),
	}
}

// finished counts a request by its outcome.
func (m *metrics) recordRequest(j *job, total time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": j.outcome}).Counter("requests").Inc(1)
	m.requestTime.RecordDuration(total)
	if j.firstByte > 0 {
		m.firstByte.RecordDuration(j.firstByte)
	}
	if len(j.ranAt) > 1 {
		m.scope.Counter("runs_repeated").Inc(int64(len(j.ranAt) - 1))
	}
}

// refusedBy counts a dispatch that a target did not run.
func (m *metrics) recordRefusal(o fleet.Outcome) {
	m.scope.Tagged(map[string]string{"reason": o.String()}).Counter("retries").Inc(1)
}
