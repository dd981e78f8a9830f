package gateway

import (
	"time"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/ratelimit"
)

// recordLimit records what an answer states about the rate limit of its target.
func (j *job) recordLimit(choice *fleet.Choice, a Answer, sent time.Time) {
	if a.HasRate && !ratelimit.IsValid(a.Rate) {
		j.g.metrics.invalidLimits.Inc(1)
		return
	}
	s := ratelimit.Statement{Rate: a.Rate, IsLimited: a.HasRate, SentAt: sent, ReceivedAt: time.Now()}
	if !j.g.fleet.ObserveLimit(choice.Member, s) {
		return
	}
	j.g.metrics.limitChanges.Inc(1)
	j.g.log.Info("Rate limit of a target changed.", "request", j.call.RequestID, "target", choice.ID, "is_limited", s.IsLimited, "per_second", s.Rate,
		"answer_ms", s.ReceivedAt.Sub(sent).Milliseconds(), "by", "answer")
}
