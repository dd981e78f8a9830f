package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"yuccausher/internal/core/retry"
	"yuccausher/internal/core/route"
)

// answerWaitFactor is the maximum wait for the first byte of an answer as a multiple of
// the objective. A retryable request then goes to another target. Most answers of
// targets that are five times slower than usual arrive within this time.
const answerWaitFactor = 2

// silentRetryBudget limits how many requests go to another target because the first
// one is silent. When all targets are slow, retries add to their load.
type silentRetryBudget struct {
	mu      sync.Mutex
	retries *retry.Budget
}

func newSilentRetryBudget() *silentRetryBudget { return &silentRetryBudget{retries: retry.NewBudget()} }

// recordDispatch adds a dispatch to the number from which the limit is computed.
func (s *silentRetryBudget) recordDispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Attempt()
}

// allow reports whether a dispatch at a silent target may be cancelled, and if so
// uses up one retry.
func (s *silentRetryBudget) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take()
}

// maxAnswerWait returns how long the request waits for an answer to begin before it
// goes to another target; zero if it stays at its target.
func (j *job) maxAnswerWait() time.Duration {
	wait := answerWaitFactor * j.route.Objective
	isRetryable := j.route.IsIdempotent() && j.route.Kind != route.Stream && len(j.ranAt)+1 < j.route.Attempts
	if !isRetryable || time.Until(j.deadline()) < wait+j.route.Objective {
		return 0
	}
	return wait
}

// answerTimer limits the wait for an answer to begin.
type answerTimer struct {
	timer *time.Timer
	state atomic.Int32
}

// States of an answerTimer.
const (
	waiting int32 = iota
	timedOut
	answered
)

// startAnswerTimer calls cancel if no answer begins in time and the retry budget
// allows another target.
func (j *job) startAnswerTimer(cancel func()) *answerTimer {
	s := &answerTimer{}
	j.g.silentRetries.recordDispatch()
	if wait := j.maxAnswerWait(); wait > 0 {
		s.timer = time.AfterFunc(wait, func() {
			if j.g.silentRetries.allow() && s.state.CompareAndSwap(waiting, timedOut) {
				cancel()
			}
		})
	}
	return s
}

// stop stops the timer and reports whether it had already cancelled the dispatch.
func (s *answerTimer) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return !s.state.CompareAndSwap(waiting, answered)
}
