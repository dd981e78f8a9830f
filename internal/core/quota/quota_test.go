package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	tolerance = Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	begun     = time.Unix(1000, 0)
)

// flow is one host and one coordinator that reach each other.
type flow struct {
	c        *Coordinator
	h        *Host
	now      time.Time
	admitted []time.Time
}

func newFlow(l Limit, age time.Duration) *flow {
	f := &flow{c: NewCoordinator(tolerance, l, []string{"a"}, begun.Add(-age), begun), h: NewHost(tolerance, 1<<processBits, begun), now: begun}
	f.h.SetLimit(l)
	return f
}

// tell reports, and returns false if the report or the reply is lost.
func (f *flow) tell(want int64, isSentLost, isReplyLost bool) bool {
	r := f.h.Report("c", want, true, f.now)
	if isSentLost {
		return false
	}
	reply := f.c.Report("a", r, f.now)
	return !isReplyLost && f.h.Answered("c", r, reply, f.now, f.now)
}

func (f *flow) take() bool {
	f.h.Count(f.now)
	if !f.h.Take(f.now) {
		return false
	}
	f.admitted = append(f.admitted, f.now)
	return true
}

// Permits must be counted once, and not lost for good, when messages are lost or come twice, requests are
// taken back, and the process stands still.
func TestPermitsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{PerSecond: rapid.SampledFrom([]float64{1, 10, 200}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 1, 100}).Draw(t, "burst")}
		f := newFlow(l, time.Minute)
		var last Report
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 100}).Draw(t, "ms")) * time.Millisecond)
			f.c.Advance(f.now)
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "lose", "lose reply", "again", "cancel", "freeze", "collect"}).Draw(t, "kind") {
			case "ask":
				f.tell(2, false, false)
			case "lose":
				f.tell(2, true, false)
			case "lose reply":
				f.tell(2, false, true)
			case "again":
				if last.Seq > 0 {
					f.c.Report("a", last, f.now)
				}
			case "cancel":
				if n := len(f.admitted); n > 0 {
					f.h.Cancel()
					f.admitted = f.admitted[:n-1]
				}
			case "freeze":
				f.now = f.now.Add(3 * time.Second)
			case "collect":
				last = f.h.Collected("c", f.now)
				f.c.Report("a", last, f.now)
			}
			for f.take() {
			}
		}
		first := 0
		for i, at := range f.admitted {
			for at.Sub(f.admitted[first]) > tolerance.Window {
				first++
			}
			if n := float64(i - first + 1); n > tolerance.Most(l) {
				t.Fatalf("%.0f requests in a window, at most %.1f are allowed", n, tolerance.Most(l))
			}
		}
		// After a window without requests there is room for the burst.
		for range 50 {
			f.now = f.now.Add(tolerance.Window / 50)
			f.c.Advance(f.now)
			f.tell(0, false, false)
		}
		f.tell(int64(min(l.Burst, l.PerSecond*tolerance.Window.Seconds())), false, false)
		n := 0.0
		for f.take() {
			n++
		}
		// Less than one may be missing by rounding.
		if n+1 < min(l.Burst, l.PerSecond*tolerance.Window.Seconds()) {
			t.Fatalf("room for %.0f requests after a window without any", n)
		}
	})
}

// A coordinator that was frozen must not grant what others have granted meanwhile, and a host that was
// frozen holds no permits.
func TestFrozenProcessesGrantNothingFromBefore(t *testing.T) {
	is := is.New(t)
	f := newFlow(Limit{PerSecond: 100, Burst: 100}, time.Minute)
	for range 20 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.take()
		f.tell(1, false, false)
	}
	is.True(f.h.IsHolding(f.now))
	f.now = f.now.Add(12 * time.Second)
	is.True(!f.h.Take(f.now))
	f.tell(100, false, false)
	n := 0
	for f.take() {
		n++
	}
	is.True(n <= 1)
}

// A coordinator that has just started must not grant the burst, which its predecessor may have granted.
func TestNewCoordinatorsGrantWhatRefills(t *testing.T) {
	is := is.New(t)
	l := Limit{PerSecond: 100, Burst: 100}
	c := NewCoordinator(tolerance, l, []string{"a"}, begun, begun)
	reply := c.Report("a", Report{Limit: l, Epoch: 1, Seq: 1, Want: 100}, begun)
	is.True(float64(reply.Granted) <= tolerance.spare(l)/2)
	is.True(reply.RetryAfter > 0)
	now := begun.Add(time.Second)
	c.Advance(now)
	reply = c.Report("a", Report{Limit: l, Epoch: 1, Seq: 2, Total: reply.Granted, Want: 1000}, now)
	is.True(reply.Granted >= 99 && reply.Granted <= 101)
}

// A new version of a limit applies with the first report that knows it, and an older one must not come
// back.
func TestNewerLimitsApply(t *testing.T) {
	is := is.New(t)
	c := NewCoordinator(tolerance, Limit{PerSecond: 100, Burst: 100, Version: 1}, []string{"a"}, begun.Add(-time.Minute), begun)
	for i, l := range []Limit{{PerSecond: 10, Burst: 5, Version: 3}, {PerSecond: 100, Burst: 100, Version: 2}} {
		reply := c.Report("a", Report{Limit: l, Epoch: 1, Seq: uint64(i + 1), Want: 1000}, begun)
		is.True(float64(reply.Granted) <= tolerance.capacity(Limit{PerSecond: 10, Burst: 5}))
		is.Equal(c.Limit().Version, int64(3))
	}
}

// The shares of hosts without coordinators must add up to the part of the limit that is reserved for
// them, also where the share of one host is less than one request.
func TestSharesAddUp(t *testing.T) {
	for _, rate := range []float64{3, 120} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			const hosts, cut = 84, 29
			l := Limit{PerSecond: rate, Burst: rate}
			admitted, random := 0, rand.New(rand.NewPCG(1, 2))
			for range cut {
				h := NewHost(tolerance, 1, begun)
				h.SetLimit(l)
				for i := range 120 {
					if ok, _ := h.TakeShare(hosts, random.Float64(), begun.Add(time.Duration(i)*100*time.Millisecond)); ok {
						admitted++
					}
				}
			}
			share := (rate*12+rate)*cut/hosts + tolerance.Slack*freePart
			if float64(admitted) > 1.2*share || float64(admitted) < 0.5*share {
				t.Errorf("%d requests admitted, the shares are %.1f", admitted, share)
			}
		})
	}
}
