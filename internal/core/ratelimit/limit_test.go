package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func named(rate float64, sent, received int) Statement {
	return Statement{Rate: rate, IsLimited: true, SentAt: at(sent), ReceivedAt: at(received)}
}

func unnamed(sent, received int) Statement {
	return Statement{SentAt: at(sent), ReceivedAt: at(received)}
}

func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	is := is.New(t)
	var l Limit
	rate := func() float64 {
		r, ok := l.Rate()
		if !ok {
			return -1
		}
		return r
	}
	is.True(!l.Observe(unnamed(0, 10)))
	is.Equal(rate(), -1.0)
	is.True(l.Observe(named(4, 0, 20)))
	is.True(!l.Observe(unnamed(15, 30))) // sent before the limit was named
	is.Equal(rate(), 4.0)
	is.True(l.Observe(named(2, 5, 40))) // lowered
	is.True(!l.Observe(named(4, 0, 35)))
	is.Equal(rate(), 2.0)
	is.True(!l.Observe(named(2, 50, 60)))
	is.True(l.Observe(unnamed(61, 70)))
	is.Equal(rate(), -1.0)
	is.True(!l.Observe(named(2, 50, 65))) // told late by another host
	is.Equal(rate(), -1.0)
	is.True(!l.Observe(unnamed(75, 85)))
	is.Equal(l.Newest(), unnamed(75, 85)) // a newer one, for hosts that did not believe the first
	is.True(l.Observe(named(0, 80, 90)))
	is.Equal(rate(), 0.0)
}

// Statements that are no limits change nothing.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	is := is.New(t)
	var l Limit
	l.Observe(named(3, 0, 10))
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		is.True(!l.Observe(named(rate, 20, 30)))
	}
	r, ok := l.Rate()
	is.True(ok)
	is.Equal(r, 3.0)
}
