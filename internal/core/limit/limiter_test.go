package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestLimitStartsAtEvenShare(t *testing.T) {
	is := is.New(t)
	is.Equal(New(24, 12).Limit(), 2)
	is.Equal(New(8, 12).Limit(), 1)
	is.Equal(New(0, 0).Limit(), 1)
}

func TestLimitGrowsOnlyWhileUsed(t *testing.T) {
	is := is.New(t)
	l := New(24, 12)
	for range 100 {
		l.Observe(start, time.Millisecond, time.Millisecond, 1)
	}
	is.Equal(l.Limit(), 2) // one running call does not use up a limit of two
	for range 1000 {
		l.Observe(start, time.Millisecond, time.Millisecond, l.Limit())
	}
	is.Equal(l.Limit(), 24)
}

func TestCongestionReducesLimitOncePerCooldown(t *testing.T) {
	is := is.New(t)
	l := New(100, 1)
	for range 50 {
		l.Observe(start, 10*time.Second, 10*time.Millisecond, 99)
	}
	is.Equal(l.Limit(), 70)
	l.Busy(start.Add(cooldown))
	is.Equal(l.Limit(), 49)
}

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency := rapid.IntRange(0, 64).Draw(t, "concurrency")
		l := New(concurrency, rapid.IntRange(0, 20).Draw(t, "hosts"))
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				l.Busy(now)
			case 1:
				l.Observe(now, time.Second, time.Millisecond, l.Limit())
			case 2:
				l.Observe(now, time.Millisecond, time.Millisecond, l.Limit())
			}
			if l.Limit() < 1 || l.Limit() > max(concurrency, 1) {
				t.Fatalf("limit is %d, concurrency %d", l.Limit(), concurrency)
			}
		}
	})
}

func TestReportedQueueReducesLimitAndStopsGrowth(t *testing.T) {
	is := is.New(t)
	l := New(16, 1)
	l.Report(start, 4)
	is.Equal(l.Limit(), 16) // a quarter of the concurrency may wait
	l.Report(start, 5)
	is.Equal(l.Limit(), 12)
	l.Observe(start, time.Millisecond, time.Millisecond, 12)
	is.Equal(l.Limit(), 12)
	l.Report(start, 0)
	for range 16 {
		l.Observe(start, time.Millisecond, time.Millisecond, 12)
	}
	is.Equal(l.Limit(), 13)
}
