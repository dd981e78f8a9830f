package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
)

// isResumable reports whether another request may continue the answer to this one.
func (j *job) isResumable() bool { return j.route.Kind == route.Stream && j.route.Resumable }

// bindVersion makes the stream go on at targets with a software version only.
func (j *job) bindVersion(version string) { j.version, j.isVersionBound = version, true }

// bindOrigin binds a request that continues a stream to the software version that began the
// stream. It returns false after it has refused the request.
func (j *job) bindOrigin(ctx context.Context) bool {
	if !j.isResumable() || j.call.ResumeAfter == "" {
		return true
	}
	defer since(&j.times.origin, time.Now())
	refreshCtx, stopRefresh := context.WithCancel(ctx)
	defer stopRefresh()
	refreshed := make(chan error, 1)
	go func() { refreshed <- j.refreshTargets(refreshCtx) }()
	version, err := j.g.origins.Lookup(ctx, j.service, j.call.Resumes)
	if err != nil {
		stopRefresh()
	}
	refreshErr := <-refreshed
	if err == nil && refreshErr == nil {
		j.bindVersion(version)
		return true
	}
	if err == nil {
		err = &UnknownOriginError{RetryAfter: maxRefreshTime, Cause: refreshErr}
	}
	if j.r.Context().Err() != nil {
		j.fail("caller_gone", err)
		return false
	}
	retryAfter := noTargetRetryAfter
	var unknown *UnknownOriginError
	if errors.As(err, &unknown) {
		retryAfter = unknown.RetryAfter
	}
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "origin_unknown", cause: err, retryAfter: retryAfter})
	return false
}

// maxRefreshTime limits a read of the targets before a stream goes on. The store takes
// milliseconds, and 60 times as long when it is slow.
const maxRefreshTime = 400 * time.Millisecond

// refreshPause is how long the targets are not read before streams go on after that has failed: the
// store is then taken to be unavailable, so that waiting for it only delays streams. The age of
// the view does not show that: the host may have stood still.
const refreshPause = time.Second

// refreshTargets reads the targets before a stream goes on: a target may have started again with
// another version under its ID.
func (j *job) refreshTargets(ctx context.Context) error {
	if failedAt := j.g.refreshFailedAt.Load(); failedAt != nil && time.Since(*failedAt) < refreshPause {
		return errTargetsNotRead
	}
	ctx, cancel := context.WithTimeout(ctx, maxRefreshTime)
	defer cancel()
	err := j.g.refreshTargets(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		now := time.Now()
		j.g.refreshFailedAt.Store(&now)
		j.g.log.Info("Targets could not be read before a stream goes on.", "request", j.call.RequestID, "targets_age_ms", j.g.targetsAge().Milliseconds(), "cause", err.Error())
	}
	return err
}

// errTargetsNotRead reports that the targets were not read because that has just failed.
var errTargetsNotRead = errors.New("targets could not be read a moment ago")

// isUnannounced reports whether the request has just been kept from a release that other hosts
// can't know of yet.
func (j *job) isUnannounced() bool {
	var unannounced *UnannouncedReleaseError
	return errors.As(j.cause, &unannounced)
}

// recordOrigin records that a target is about to run a resumable stream. It returns false if the
// stream has to stay at the release that was recorded before, or may not begin at this one.
func (j *job) recordOrigin(ctx context.Context, m fleet.Member) bool {
	if !j.isResumable() {
		return true
	}
	if err := j.g.origins.Record(ctx, j.call.RequestID, m.Release(), j.sender.IsRecorded); err != nil {
		j.cause = err
		if !j.isUnannounced() {
			j.bindVersion(j.recordedVersion)
		}
		return false
	}
	j.recordedVersion, j.isRecorded = m.Version, true
	return true
}

// VersionGoneError reports that a stream can't go on because no target has the software version
// that began it.
type VersionGoneError struct{ Service, Version string }

// Error implements error.
func (e *VersionGoneError) Error() string {
	return "no target of " + e.Service + " has version " + e.Version + ", which began the stream"
}
