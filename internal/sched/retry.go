package sched

import (
	"time"

	"yuccausher/internal/core/retry"
	"yuccausher/internal/port"
)

// maxAttempts is the maximum number of dispatches of one call.
const maxAttempts = 4

// Retry implements port.Scheduler. The first attempt is 1. Granted retries are counted by
// the failure, denied ones by the reason.
func (s *Scheduler) Retry(work port.Work, attempt int, err *port.TargetError) (time.Duration, bool) {
	if reason := s.denied(work, attempt, err); reason != "" {
		s.metrics.denied(reason)
		return 0, false
	}
	s.metrics.retried(err.Failure)
	return retry.Pause(attempt, s.random.float()), true
}

// denied returns the reason why a call must not be retried, or "" if it may be. In the
// latter case it takes a token from the retry budget.
func (s *Scheduler) denied(work port.Work, attempt int, err *port.TargetError) string {
	if err == nil {
		return "no_failure"
	}
	if !err.NotRun() && !work.Idempotent {
		return "not_idempotent"
	}
	switch err.Failure {
	case port.FailureRejected, port.FailureFenced:
		return "final"
	}
	if attempt >= maxAttempts {
		return "attempts"
	}
	if s.quarantine.isQuarantined(work.Fingerprint) {
		return "poisoned"
	}
	t, _ := s.current()
	if t == nil {
		return "no_target"
	}
	p := t.pools[poolKey{work.Kind, work.Name}]
	if p == nil {
		return "no_target"
	}
	return p.takeRetry(work, time.Now())
}

// takeRetry takes a token from the pool's retry budget. It returns the reason if the
// retry is denied, otherwise "".
func (p *pool) takeRetry(work port.Work, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !work.Deadline.IsZero() && now.Add(p.minServiceTimeLocked()).After(work.Deadline) {
		return "deadline"
	}
	if !p.budget.Take() {
		return "budget"
	}
	return ""
}
