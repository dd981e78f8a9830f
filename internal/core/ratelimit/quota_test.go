package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/testutil"
)

const (
	// window, factor and slack are the users' bound: in no window more than factor
	// times what the limit allows, and slack requests more.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// A leader and a standby that grant at the same time stay within the users' bound, whatever
// the limit and the pattern of requests.
func TestLeaderAndStandbyTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		var leader, standby Quota
		now := at(0)
		var granted []time.Time
		for range rapid.IntRange(1, 800).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 40).Draw(t, "pause")) * time.Millisecond)
			level := rapid.IntRange(-1, 9).Draw(t, "level")
			if leader.Take(rate, Leader, level, now).IsGranted {
				granted = append(granted, now)
			}
			if standby.Take(rate, Standby, level, now).IsGranted {
				granted = append(granted, now)
			}
		}
		if most := testutil.MostWithin(granted, window); float64(most) > factor*window.Seconds()*rate+slack {
			t.Fatalf("%d granted within %v at a limit of %v", most, window, rate)
		}
	})
}

// While more requests come than the target accepts, all that it accepts are granted, and a
// request that comes back when it was told is granted soon.
func TestTargetIsUsedUpToItsLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 7, 40} {
		is := is.New(t)
		var q Quota
		granted := 0
		const seconds = 60
		for ms := range seconds * 1000 {
			if q.Take(rate, Leader, ms%4, at(ms)).IsGranted {
				granted++
			}
		}
		is.True(float64(granted) >= rate*(seconds-2))
		d := q.Take(rate, Leader, 0, at(seconds*1000))
		for d.RetryAfter > 0 {
			q2 := q
			d = q2.Take(rate, Leader, 0, at(seconds*1000).Add(d.RetryAfter+time.Millisecond))
			is.True(d.IsGranted)
		}
	}
}

// More urgent requests are granted first while not all can be.
func TestUrgentRequestsAreGrantedFirst(t *testing.T) {
	is := is.New(t)
	var q Quota
	granted := make(map[int]int)
	for ms := 0; ms < 60_000; ms += 20 {
		level := (ms / 20) % 4
		if q.Take(4, Leader, level, at(ms)).IsGranted {
			granted[level]++
		}
	}
	is.True(granted[0] > 4*(granted[1]+granted[2]+granted[3]))
	is.True(granted[0] > 200)
}

// A target that accepts nothing is asked now and then, so that the end of its limit is
// noticed.
func TestTargetThatAcceptsNothingIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	var q Quota
	var granted []time.Time
	for ms := range 60_000 {
		if q.Take(0, Leader, 0, at(ms)).IsGranted {
			granted = append(granted, at(ms))
		}
	}
	is.True(len(granted) >= 10)
	is.True(testutil.MostWithin(granted, window) <= slack)
}

func TestRoleFollowsWhatAllHostsKnow(t *testing.T) {
	is := is.New(t)
	settled := Standing{IsFirstOfRecent: true, Age: time.Minute}
	is.Equal(settled.Role(), Leader)
	second := Standing{Rank: 1, Age: time.Minute}
	is.Equal(second.Role(), Standby)
	is.Equal(Standing{Rank: 2, Age: time.Minute}.Role(), Bystander)
	is.Equal(Standing{Rank: -1, IsFirstOfRecent: true, Age: time.Minute}.Role(), Bystander)
	for _, s := range []Standing{
		{Age: time.Minute},                           // another host was the first a moment ago
		{IsFirstOfRecent: true, Age: settleTime - 1}, // has just started
		{IsFirstOfRecent: true, Age: time.Minute, SinceRenewal: registrationLease}, // perhaps unknown to others
	} {
		is.Equal(s.Role(), Standby)
	}
}

func BenchmarkTake(b *testing.B) {
	var q Quota
	b.ReportAllocs()
	for i := range b.N {
		q.Take(5, Leader, i%4, at(i))
	}
}
