package conversation

import "time"

// unavailableAfter is the time without an answer after which the log counts as
// unavailable. A store that is slowed down 100 times answers in 0.4 s.
const unavailableAfter = 600 * time.Millisecond

// Availability distinguishes a log that is unavailable from one that is slow or loses
// some answers. The zero value is available.
type Availability struct {
	answeredAt   time.Time
	failingSince time.Time
}

// Answered records an answer to a call.
func (a *Availability) Answered(now time.Time) {
	a.answeredAt, a.failingSince = now, time.Time{}
}

// Failed records a call that began at a time and has failed or is overdue.
func (a *Availability) Failed(beganAt time.Time) {
	if beganAt.Before(a.answeredAt) {
		beganAt = a.answeredAt
	}
	if a.failingSince.IsZero() || beganAt.Before(a.failingSince) {
		a.failingSince = beganAt
	}
}

// HasAnsweredWithin reports whether the log has answered a call within a time.
func (a *Availability) HasAnsweredWithin(d time.Duration, now time.Time) bool {
	return !a.answeredAt.IsZero() && now.Sub(a.answeredAt) < d
}

// IsUnavailable reports whether the log has not answered any call for
// unavailableAfter.
func (a *Availability) IsUnavailable(now time.Time) bool {
	return a.FailingFor(now) >= unavailableAfter
}

// FailingFor returns the time since calls began to fail, or zero if none has failed
// since the last answer.
func (a *Availability) FailingFor(now time.Time) time.Duration {
	if a.failingSince.IsZero() {
		return 0
	}
	return now.Sub(a.failingSince)
}
