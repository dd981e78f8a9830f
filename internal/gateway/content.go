package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/fault"
)

// noRetryAdvice leaves out when the caller may come back.
const noRetryAdvice = -1

// fingerprint names the content of the request, which is the same when a caller
// sends it again. Requests without a body are told apart by their program.
func (j *job) fingerprint() uint64 {
	caller := j.body
	if len(caller) == 0 {
		caller = []byte(j.call.Program)
	}
	d := xxhash.New()
	for _, part := range []string{j.r.Method, j.r.Host, j.r.RequestURI} {
		// Writes to a digest don't fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(caller)
	return d.Sum64()
}

// refuseQuarantined gives the final answer of a request whose content has
// crashed targets and has not run this time.
func (j *job) refuseQuarantined() {
	j.refuse(refusal{
		status:     http.StatusServiceUnavailable,
		reason:     "quarantined",
		cause:      &QuarantinedError{Fingerprint: j.fingerprint()},
		retryAfter: noRetryAdvice,
	})
}

// endQuarantined ends a request whose content was quarantined after it was admitted.
func (j *job) endQuarantined(ctx context.Context) {
	if len(j.ranAt) == 0 {
		j.refuseQuarantined()
		return
	}
	j.endUnanswered(ctx)
}

// QuarantinedError says that content has crashed targets and must not run.
type QuarantinedError struct{ Fingerprint uint64 }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return "content " + strconv.FormatUint(e.Fingerprint, 16) + " has crashed targets"
}

// observeContent tells the quarantine what a dispatch says of the content.
func (j *job) observeContent(ctx context.Context, choice *fleet.Choice, r result) {
	switch {
	case r == finished && j.outcome == "answered" && j.status < http.StatusMultipleChoices:
		j.g.crashes.RecordSuccess(j.fingerprint, choice.ID)
	case r == unknown || r == cut:
		j.observeEnd(ctx, choice)
	}
}

// silentTime is for how long a target has said nothing to this host when a request
// that is given up there makes the host look for it. Targets take far less to begin an
// answer, unless they are overloaded.
const silentTime = 500 * time.Millisecond

// observeEnd notes that a request ended at a target without a whole answer. A target that
// has ended silently keeps its connections open, so that callers leave or run out of
// time first.
func (j *job) observeEnd(ctx context.Context, choice *fleet.Choice) {
	isLeft := isSilence(j.cause)
	if ctx.Err() == nil && !isLeft {
		j.observeBreak(ctx, choice)
		return
	}
	silent := choice.SilentFor(time.Now())
	if isLeft || silent >= silentTime {
		j.g.crashes.RecordInterruption(j.fingerprint(), connectionTarget(choice))
		return
	}
	j.g.crashes.RecordAbandoned(j.fingerprint(), connectionTarget(choice))
	j.g.metrics.unexplainedEnds.Inc(1)
	j.g.log.Info("Request ended at its target without an answer, and the target is not looked for.",
		"request", j.call.RequestID, "content", strconv.FormatUint(j.fingerprint(), 16), "target", choice.ID, "started_at", choice.StartedAt,
		"events", j.events, "silent_ms", silent.Milliseconds(), "caller_gone", j.r.Context().Err() != nil, "cause", fault.Text(j.cause))
}

// observeBreak notes that the answer of a target broke off. A request that may be
// repeated waits for a first look at the target: one that has ended can't be running it
// any more and does not count as an attempt.
func (j *job) observeBreak(ctx context.Context, choice *fleet.Choice) {
	if !j.route.IsIdempotent() {
		j.g.crashes.RecordInterruption(j.fingerprint(), connectionTarget(choice))
		return
	}
	if !j.g.crashes.ProbeAfterInterruption(ctx, j.fingerprint(), connectionTarget(choice)) || j.ended >= maxEnded {
		return
	}
	j.ended++
	j.g.metrics.endedTargets.Inc(1)
	j.g.log.Info("Target has ended as it ran a request.", "request", j.call.RequestID, "target", choice.ID, "runs", len(j.ranAt))
}

func isSilence(err error) bool {
	var silent *SilentTargetError
	return errors.As(err, &silent)
}
