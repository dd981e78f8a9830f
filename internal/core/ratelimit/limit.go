// Package ratelimit decides how many requests a target gets that limits its rate. Targets
// in need name a limit in their answers, for the requests of all hosts together. One host,
// the coordinator of the target, grants the requests (Quota); all hosts keep what they
// know of a limit (Limit). The package performs no I/O.
package ratelimit

import (
	"math"
	"time"
)

// MaxRate is the highest limit that has an effect, in requests per second.
const MaxRate = 1e6

// Statement is what one answer of a target states about its limit.
type Statement struct {
	// Rate is the limit in requests per second. IsLimited is false if the answer names
	// none.
	Rate      float64
	IsLimited bool
	// SentAt is when the answered request was sent, ReceivedAt when its answer arrived.
	SentAt, ReceivedAt time.Time
}

// IsValid reports whether a number can be a limit.
func IsValid(rate float64) bool { return rate >= 0 && rate <= MaxRate && !math.IsNaN(rate) }

// Limit is the newest statement about the limit of one run of a target. The zero value
// is that of a target that has named no limit. It is not safe for concurrent use.
type Limit struct{ newest Statement }

// Observe adds a statement and reports whether the limit in force has changed. Answers on
// different connections may overtake each other: one without a limit counts only if its
// request was sent after the limit had been named.
func (l *Limit) Observe(s Statement) bool {
	if s.IsLimited && !IsValid(s.Rate) {
		return false
	}
	before := l.newest
	switch {
	case s.IsLimited && s.ReceivedAt.Before(before.ReceivedAt):
		return false
	case !s.IsLimited && before.ReceivedAt.IsZero():
		return false // there was no limit yet
	case !s.IsLimited && before.IsLimited && !s.SentAt.After(before.ReceivedAt):
		return false
	case !s.IsLimited && !before.IsLimited && !s.SentAt.After(before.SentAt):
		return false
	}
	l.newest = s
	return s.IsLimited != before.IsLimited || s.Rate != before.Rate
}

// Rate returns the limit in requests per second, and false if there is none.
func (l *Limit) Rate() (float64, bool) { return l.newest.Rate, l.newest.IsLimited }

// Newest returns the newest statement; its ReceivedAt is zero if there is none.
func (l *Limit) Newest() Statement { return l.newest }
