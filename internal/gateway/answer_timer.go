package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"yuccausher/internal/core/retry"
	"yuccausher/internal/core/route"
)

// silenceFactor is how many times its objective a request that may be repeated
// waits for the beginning of an answer before it goes to another target. Answers
// of targets that are five times slower than usual mostly come by then.
const answerWaitFactor = 2

// silences bounds how many requests go to another target because the first one
// is silent. When all targets are slow, asking more of them makes it worse.
type silentRetryBudget struct {
	mu      sync.Mutex
	retries *retry.Budget
}

func newSilentRetryBudget() *silentRetryBudget { return &silentRetryBudget{retries: retry.NewBudget()} }

// attempt counts a dispatch.
func (s *silentRetryBudget) recordDispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Attempt()
}

// mayLeave says whether a silent target may be left.
func (s *silentRetryBudget) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take()
}

// patience returns how long the request waits for an answer to begin before it
// goes to another target; zero if it does not.
func (j *job) maxAnswerWait() time.Duration {
	patience := answerWaitFactor * j.route.Objective
	isRepeatable := j.route.IsIdempotent() && j.route.Kind != route.Stream && len(j.ranAt)+1 < j.route.Attempts
	if !isRepeatable || time.Until(j.deadline()) < patience+j.route.Objective {
		return 0
	}
	return patience
}

// silence ends the wait for an answer.
type answerTimer struct {
	timer *time.Timer
	state atomic.Int32
}

// The states of a silence.
const (
	waiting int32 = iota
	timedOut
	answered
)

// watchSilence calls leave if no answer begins in time and the target may be
// left.
func (j *job) startAnswerTimer(leave func()) *answerTimer {
	s := &answerTimer{}
	j.g.silentRetries.recordDispatch()
	if patience := j.maxAnswerWait(); patience > 0 {
		s.timer = time.AfterFunc(patience, func() {
			if j.g.silentRetries.allow() && s.state.CompareAndSwap(waiting, timedOut) {
				leave()
			}
		})
	}
	return s
}

// end says whether the target was left. From then on it is not any more.
func (s *answerTimer) stop() bool {
	if s.timer != nil {
		s.timer.Stop()
	}
	return !s.state.CompareAndSwap(waiting, answered)
}
