// Package failure keeps the share of requests that a target has failed recently.
package failure

import (
	"math"
	"time"
)

const (
	// failureGain and successGain are the weights of one answer in the share. A
	// failure has the larger weight, since each one may end a program, and targets
	// that fail do so for seconds.
	failureGain = 0.25
	successGain = 0.1
	// halfLife is the half-life of the share. The decay lets a target that is avoided
	// get requests again.
	halfLife = 3 * time.Second
	// suspectShare is the share above which other targets are preferred. One failure
	// exceeds it for four seconds.
	suspectShare = 0.1
)

// Share is the share of answers that were cut off, never arrived or reported a failure
// of the target. The zero value is a target without failures.
type Share struct {
	value float64
	at    time.Time
}

// Value returns the share, which decays with time.
func (s Share) Value(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-float64(now.Sub(s.at))/float64(halfLife))
}

// IsSuspect reports whether a request to the target has failed recently.
func (s Share) IsSuspect(now time.Time) bool { return s.Value(now) > suspectShare }

// RecordFailure records a request that the target failed.
func (s *Share) RecordFailure(now time.Time) { s.update(now, 1, failureGain) }

// RecordSuccess records a request that the target answered.
func (s *Share) RecordSuccess(now time.Time) { s.update(now, 0, successGain) }

func (s *Share) update(now time.Time, to, gain float64) {
	value := s.Value(now)
	s.value, s.at = value+gain*(to-value), now
}
