package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/fault"
	"yuccausher/internal/upstream"
)

// noRetryAfter omits the advice on when to retry.
const noRetryAfter = -1

// fingerprint identifies the content of the request. It is the same when a caller sends
// the content again. Requests without a body are distinguished by their program.
func (j *job) fingerprint() uint64 {
	content := j.body
	if len(content) == 0 {
		content = []byte(j.call.Program)
	}
	d := xxhash.New()
	for _, part := range []string{j.r.Method, j.r.Host, j.r.RequestURI} {
		// Writes to a digest never fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(content)
	return d.Sum64()
}

// features returns the features of the request that may explain why targets crash, the content
// first.
func (j *job) features() []poison.Feature {
	return append([]poison.Feature{{Fingerprint: j.fingerprint()}}, j.sharedFeatures()...)
}

// sharedFeatures returns the features that requests with other contents may share. Programs and
// sessions of two organisations differ, whatever their names.
func (j *job) sharedFeatures() []poison.Feature {
	organisation := ""
	if j.organisation != nil {
		organisation = j.organisation.Name
	}
	list := []poison.Feature{featureOf(poison.Path, j.r.Host, j.r.URL.Path)}
	if j.call.Program != "" {
		list = append(list, featureOf(poison.Program, organisation, j.call.Program))
	}
	if j.call.Session != "" {
		list = append(list, featureOf(poison.Session, organisation, j.call.Program, j.call.Session))
	}
	if j.r.URL.RawQuery != "" && len(j.body) > 0 {
		list = append(list, featureOf(poison.Body, j.r.Method, j.r.Host, j.r.URL.Path, string(j.body)))
	}
	return list
}

// featureOf returns a feature with the parts that identify it.
func featureOf(kind poison.Kind, parts ...string) poison.Feature {
	d := xxhash.New()
	for _, part := range append([]string{kind.String()}, parts...) {
		// Writes to a digest never fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return poison.Feature{Kind: kind, Fingerprint: d.Sum64()}
}

// quarantinedFeature returns the feature for which the request must not run, if there is one.
func (j *job) quarantinedFeature() (poison.Feature, bool) { return j.g.quarantine.Blocks(j.features) }

// refuseQuarantined refuses a request whose content is in quarantine and which has not
// run at any target.
func (j *job) refuseQuarantined(f poison.Feature) {
	j.refuse(refusal{
		status:     http.StatusServiceUnavailable,
		reason:     "quarantined",
		cause:      &QuarantinedError{Feature: f},
		retryAfter: noRetryAfter,
	})
}

// finishQuarantined ends a request whose content was quarantined after the request was
// admitted.
func (j *job) finishQuarantined(ctx context.Context, f poison.Feature) {
	if len(j.ranAt) == 0 {
		j.refuseQuarantined(f)
		return
	}
	j.finishUnanswered(ctx)
}

// QuarantinedError reports that requests with a feature have crashed targets and must not run.
type QuarantinedError struct{ Feature poison.Feature }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return e.Feature.Kind.String() + " " + strconv.FormatUint(e.Feature.Fingerprint, 16) + " has crashed targets"
}

// recordContentResult reports the result of a dispatch to the quarantine.
func (j *job) recordContentResult(ctx context.Context, choice *fleet.Choice, r result, sent time.Time) {
	if r == completed && j.outcome == "answered" {
		j.g.quarantine.RecordAnswer(connectionTarget(choice), sent)
	}
	switch {
	case r == completed && j.outcome == "answered" && j.framing != upstream.Unframed && j.status < http.StatusMultipleChoices:
		if marks := j.g.quarantine.RecordSuccessOf(j.features, choice.ID); marks > 0 {
			j.g.log.Info("Answer has cleared content of crash marks.", "request", j.call.RequestID, "content", strconv.FormatUint(j.fingerprint(), 16),
				"target", choice.ID, "started_at", choice.StartedAt, "framing", j.framing, "events", j.events, "marks", marks)
		}
	case r == outcomeUnknown || r == interrupted:
		j.recordMissingAnswer(ctx, choice)
	}
}

// minSilenceBeforeProbe is how long a target must have sent nothing to this host for an
// abandoned request to trigger a probe. Targets begin to answer much faster unless they
// are overloaded.
const minSilenceBeforeProbe = 500 * time.Millisecond

// recordMissingAnswer records that a request ended at a target without a complete
// answer. The connections of a target that ended silently stay open, so that the
// caller disconnects or the time limit expires before the connection fails.
func (j *job) recordMissingAnswer(ctx context.Context, choice *fleet.Choice) {
	var crashed *TargetCrashedError
	if errors.As(j.cause, &crashed) {
		j.countCrash(choice)
		return
	}
	isSilent := isSilentTarget(j.cause)
	if ctx.Err() == nil && !isSilent {
		j.recordInterruption(ctx, choice)
		return
	}
	silence := choice.SilentFor(time.Now())
	if isSilent || silence >= minSilenceBeforeProbe {
		j.g.quarantine.RecordInterruption(j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...)
		return
	}
	j.g.quarantine.RecordAbandoned(j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...)
	j.g.metrics.unexplainedEnds.Inc(1)
	j.g.log.Info("Request ended without a complete answer; target is not probed because it responded recently.",
		"request", j.call.RequestID, "content", strconv.FormatUint(j.fingerprint(), 16), "target", choice.ID, "started_at", choice.StartedAt,
		"events", j.events, "silent_ms", silence.Milliseconds(), "caller_gone", j.r.Context().Err() != nil, "cause", fault.Text(j.cause))
}

// recordInterruption records that the answer of a target was interrupted. An idempotent
// request waits for the first probe of the target: a target that has ended no longer
// runs the request and does not count as an attempt. At a host that is cut off it is passed on
// without delay.
func (j *job) recordInterruption(ctx context.Context, choice *fleet.Choice) {
	if !j.route.IsIdempotent() || j.g.reach.State() == reach.CutOff {
		j.g.quarantine.RecordInterruption(j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...)
		return
	}
	hasCrashed, isOutOfReach := j.g.quarantine.ProbeAfterInterruption(ctx, j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...)
	switch {
	case hasCrashed:
		j.countCrash(choice)
	case isOutOfReach && !isGarbled(j.cause):
		// The connection may have ended with the path of this host.
		j.recordCutOff(choice)
	}
}

// countCrash counts a target that ended while it ran the request. It does not count as
// an attempt.
func (j *job) countCrash(choice *fleet.Choice) {
	if j.crashes >= maxUncountedCrashes {
		return
	}
	j.crashes++
	j.g.metrics.endedTargets.Inc(1)
	j.g.log.Info("Target ended while it ran a request.", "request", j.call.RequestID, "target", choice.ID, "runs", len(j.ranAt))
}

// hasCrashed reports whether the target of an answer that ended with its connection has
// crashed, so that the answer is incomplete. A target that is leaving may end after it has
// answered.
func (j *job) hasCrashed(ctx context.Context, choice *fleet.Choice, isLeaving bool) bool {
	if j.framing != upstream.Unframed || isLeaving || !j.g.quarantine.ProbeAfterUnframedAnswer(ctx, j.fingerprint(), connectionTarget(choice), j.sharedFeatures()...) {
		return false
	}
	j.cause = &TargetCrashedError{Target: choice.ID}
	j.g.metrics.crashedAnswers.Inc(1)
	return true
}

// TargetCrashedError reports that a target crashed when its answer ended. The crash has
// been counted against the content.
type TargetCrashedError struct{ Target string }

// Error implements error.
func (e *TargetCrashedError) Error() string {
	return "target " + e.Target + " has crashed at the end of its answer, which has no length"
}

// isGarbled reports whether a target sent bytes that are no answer to the request.
func isGarbled(err error) bool {
	var exchange *upstream.ExchangeError
	return errors.As(err, &exchange) && exchange.Garbled || errors.Is(err, errAltered)
}

func isSilentTarget(err error) bool {
	var silent *SilentTargetError
	return errors.As(err, &silent)
}
