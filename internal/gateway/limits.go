package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/ratelimit"
)

const (
	// maxDenials limits the targets, or groups of candidates, with rate limits that are
	// tried for one dispatch.
	maxDenials = 4
	// minLimitRetryAfter and maxLimitRetryAfter limit the advice on when to retry a
	// request that rate limits left no room for.
	minLimitRetryAfter = 50 * time.Millisecond
	maxLimitRetryAfter = 10 * time.Second
)

// recordLimit records what an answer states about the rate limit of its target.
func (j *job) recordLimit(choice *fleet.Choice, a Answer, sent time.Time) {
	if a.HasRate && !ratelimit.IsValid(a.Rate) {
		j.g.metrics.invalidLimits.Inc(1)
		return
	}
	wasLimited := j.g.fleet.Limit(choice.ID).IsLimited
	s := ratelimit.Statement{Rate: a.Rate, IsLimited: a.HasRate, SentAt: sent, ReceivedAt: time.Now()}
	if !j.g.fleet.ObserveLimit(fleet.TargetLimit{ID: choice.ID, StartedAt: choice.StartedAt, Statement: s}) {
		return
	}
	j.g.metrics.limitChanges.Inc(1)
	j.g.log.Info("Rate limit of a target changed.", "request", j.call.RequestID, "target", choice.ID, "is_limited", s.IsLimited, "per_second", s.Rate,
		"answer_ms", s.ReceivedAt.Sub(sent).Milliseconds(), "by", "answer")
	// Another limit is told with the next request for a grant.
	if s.IsLimited != wasLimited {
		j.g.placement.LimitChanged(choice.ID)
	}
}

// level returns the urgency of the request under rate limits: by its priority, and behind
// others of that priority if its program is late already.
func (j *job) level() int {
	level := j.priority()
	if j.call.HasFinish && j.call.FinishIn <= time.Since(j.started) {
		level++
	}
	return level
}

// permit reports whether the rate limit of a target leaves room for the request.
func (j *job) permit(ctx context.Context, target string) bool {
	if j.g.placement.Permit(ctx, target, j.level()) {
		return true
	}
	j.denials++
	return false
}

// limitRetryAfter returns when a request that rate limits left no room for may be granted.
// It returns false if no target is kept back by its rate limit.
func (j *job) limitRetryAfter() (time.Duration, bool) {
	now := time.Now()
	until, ok := j.g.fleet.DeniedUntil(j.targetRequest(), now)
	if !ok {
		return 0, false
	}
	// The jitter spreads callers that were refused at the same time.
	wait := time.Duration((1 + rand.Float64()) * float64(until.Sub(now)))
	return min(max(wait, minLimitRetryAfter), maxLimitRetryAfter), true
}

// refuseLimited refuses a request that rate limits left no room for and that has not run.
func (j *job) refuseLimited(retryAfter time.Duration) {
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "rate_limited", cause: &RateLimitedError{Service: j.service}, retryAfter: retryAfter})
}

// RateLimitedError reports that the rate limits of all targets of a service leave no room
// for a request.
type RateLimitedError struct{ Service string }

// Error implements error.
func (e *RateLimitedError) Error() string {
	return "rate limits of the targets of " + e.Service + " leave no room"
}
