package conversation

import "time"

// awayAfter is for how long no call may be answered before the log counts as away:
// an answer of a store that is slowed down 100 times takes 0.4 s.
const awayAfter = 600 * time.Millisecond

// Reach tells a log that is away from one that is slow or loses some answers. The
// zero value has made no calls.
type Availability struct {
	answeredAt   time.Time
	failingSince time.Time
}

// Answered takes an answer to a call.
func (r *Availability) Answered(now time.Time) {
	r.answeredAt, r.failingSince = now, time.Time{}
}

// Failed takes a call that was begun at a time and has failed, or that has not been
// answered yet though it should have been.
func (r *Availability) Failed(begun time.Time) {
	if begun.Before(r.answeredAt) {
		begun = r.answeredAt
	}
	if r.failingSince.IsZero() || begun.Before(r.failingSince) {
		r.failingSince = begun
	}
}

// IsAway says whether the log has answered no call for long enough.
func (r *Availability) IsUnavailable(now time.Time) bool {
	return r.FailingFor(now) >= awayAfter
}

// Failing is for how long no call has been answered; zero if the last one was.
func (r *Availability) FailingFor(now time.Time) time.Duration {
	if r.failingSince.IsZero() {
		return 0
	}
	return now.Sub(r.failingSince)
}
