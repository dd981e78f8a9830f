package targetload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// observe adds n samples, ten a second from a time on, and returns the time after them.
func observe(e *Estimator, n int, gap time.Duration, load float64, now time.Time) time.Time {
	for range n {
		now = now.Add(100 * time.Millisecond)
		e.Observe(Sample{First: 20 * time.Millisecond, Gap: gap, Events: 60, InProgress: int(load) - 1}, load, now)
	}
	return now
}

func TestNothingIsKnownAtFirst(t *testing.T) {
	is := is.New(t)
	e := New(8)
	is.Equal(e.Estimate(start), Estimate{})
	now := observe(e, minSamples-1, 10*time.Millisecond, 2, start)
	is.True(!e.Estimate(now).IsKnown())
	is.True(e.Estimate(observe(e, 1, 10*time.Millisecond, 2, now)).IsKnown())
}

// The speed must follow a change within five seconds at ten samples a second, and single slow
// requests must change it little.
func TestSpeedFollowsAChange(t *testing.T) {
	is := is.New(t)
	e := New(8)
	now := observe(e, 100, 10*time.Millisecond, 4, start)
	before := e.Estimate(now).EventsPerSecond
	now = observe(e, 2, 25*time.Millisecond, 4, now)
	is.True(e.Estimate(now).EventsPerSecond > 0.75*before)
	now = observe(e, 50, 20*time.Millisecond, 4, now)
	after := e.Estimate(now).EventsPerSecond
	t.Logf("%.1f events a second, then %.1f", before, after)
	is.True(after > 0.45*before && after < 0.6*before)
	is.Equal(e.Estimate(now).Limit, 8) // slower at the same load is not a lower limit
}

// A long prompt must not make a target look slow.
func TestLongPromptIsNotSlowness(t *testing.T) {
	is := is.New(t)
	short, long := New(8), New(8)
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		short.Observe(Sample{First: 15 * time.Millisecond, Gap: 10 * time.Millisecond, Events: 20, PromptTokens: 500}, 2, now)
		long.Observe(Sample{First: 60 * time.Millisecond, Gap: 10 * time.Millisecond, Events: 20, PromptTokens: 5000}, 2, now)
	}
	a, b := short.Estimate(now).EventsPerSecond, long.Estimate(now).EventsPerSecond
	is.True(a > 0.99*b && a < 1.01*b)
}

// Samples that state no time must change nothing: short answers, and requests without events.
func TestUntimedSamplesAreIgnored(t *testing.T) {
	is := is.New(t)
	e := New(8)
	for _, s := range []Sample{{}, {First: time.Second}, {First: time.Second, Gap: time.Second, Events: MinEvents - 1}, {Gap: time.Second, Events: 60}} {
		for range 20 {
			e.Observe(s, 1, start)
		}
	}
	is.Equal(e.Estimate(start), Estimate{})
}

// A refusal below the slots lowers the limit at once, never below one, and the limit rises
// again while requests are answered.
func TestRefusalLowersTheLimitForATime(t *testing.T) {
	is := is.New(t)
	e := New(8)
	now := observe(e, 50, 10*time.Millisecond, 4, start)
	e.Observe(Sample{IsRefused: true, InProgress: 8}, 0, now)
	is.Equal(e.Estimate(now).Limit, 8)
	e.Observe(Sample{IsRefused: true, InProgress: 5}, 0, now)
	is.Equal(e.Estimate(now).Limit, 5)
	e.Observe(Sample{IsRefused: true}, 0, now)
	is.Equal(e.Estimate(now).Limit, 1)
	for range 200 {
		now = observe(e, 10, 10*time.Millisecond, float64(e.Estimate(now).Limit), now)
	}
	is.Equal(e.Estimate(now).Limit, 8)
}

// Loads and times at the edges must give no limit outside 1 to slots and no speed that is not a
// number.
func TestEdges(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{-1, 0, 1, 2, 64, 1 << 16} {
		e := New(slots)
		now := start
		for _, load := range []float64{0, 1, 1e9, 3} {
			for _, gap := range []time.Duration{1, time.Hour} {
				now = observe(e, 20, gap, load, now)
				got := e.Estimate(now)
				is.True(got.Limit >= 1 && got.Limit <= max(slots, 1))
				is.True(got.EventsPerSecond > 0 && got.EventsPerSecond < 1e10)
			}
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	e := New(64)
	now := start
	for i := range 200 {
		now = observe(e, 1, 10*time.Millisecond, float64(i%64+1), now)
	}
	b.ReportAllocs()
	for i := range b.N {
		now = observe(e, 1, 10*time.Millisecond, float64(i%64+1), now)
	}
}
