package sched

import (
	"time"

	"yuccausher/internal/core/retry"
	"yuccausher/internal/port"
)

// maxAttempts is how many dispatches one call may get.
const maxAttempts = 4

// Retry implements port.Scheduler. Attempts count from 1. The reason of each
// retry, and of each that is denied, is counted.
func (s *Scheduler) Retry(work port.Work, attempt int, err *port.TargetError) (time.Duration, bool) {
	if reason := s.denied(work, attempt, err); reason != "" {
		s.metrics.denied(reason)
		return 0, false
	}
	s.metrics.retried(err.Failure)
	return retry.Pause(attempt, s.random.float()), true
}

// denied returns why a call must not be tried again, or "".
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
