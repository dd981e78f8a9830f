package waitqueue

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

var (
	start = time.Unix(1000, 0)
	wide  = Limits{Requests: 1000, Bytes: 1 << 20}
)

// in returns a request of an organisation that is due after a time.
func in(organisation string, due time.Duration) *Request {
	return &Request{Organisation: organisation, Due: start.Add(due), Bytes: 1}
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	q.Begin("busy", start)
	urgent, route, begun, soon, later, busy := in("busy", time.Hour), in("a", time.Hour), in("b", time.Hour), in("c", time.Minute), in("d", time.Hour), in("busy", time.Second)
	for _, r := range []*Request{route, begun, soon, later, busy} {
		r.Priority = 1
	}
	for _, r := range []*Request{begun, soon, later, busy} {
		r.RoutePriority = 2
	}
	begun.HasBegun = true
	want := []*Request{urgent, route, begun, soon, later, busy}
	for i := range want {
		is.True(!q.Add(want[len(want)-1-i], start).IsRefused)
	}
	taken := q.Take(10, start)
	is.Equal(len(taken), len(want))
	for i, r := range want {
		is.True(taken[i] == r)
	}
}

// An organisation at many times its usual load must not take the room of the others: the requests in
// progress become equal as far as an organisation asks for that many, and no room stays unused.
func TestRoomIsSharedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(wide)
		asked := map[string]int{}
		total := 0
		for o := range rapid.IntRange(1, 6).Draw(t, "organisations") {
			name := strconv.Itoa(o)
			asked[name] = rapid.IntRange(0, 40).Draw(t, "requests")
			total += asked[name]
			for range asked[name] {
				q.Add(in(name, time.Hour), start)
			}
		}
		room := rapid.IntRange(0, 100).Draw(t, "room")
		got := map[string]int{}
		taken := 0
		for range room {
			for _, r := range q.Take(1, start) {
				got[r.Organisation]++
				taken++
			}
		}
		if taken != min(room, total) {
			t.Fatalf("%d of %d taken with room for %d", taken, total, room)
		}
		most := 0
		for _, n := range got {
			most = max(most, n)
		}
		for o, n := range got {
			if n < asked[o] && n < most-1 {
				t.Fatalf("organisation %s got %d of %d while another got %d", o, n, asked[o], most)
			}
		}
	})
}

// The memory for waiting requests is bounded, and what is shed is the last in order.
func TestQueueIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Requests: rapid.IntRange(1, 10).Draw(t, "requests"), Bytes: rapid.IntRange(1, 50).Draw(t, "bytes")}
		q := New(l)
		waiting := map[*Request]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "take") == 0 {
				for _, r := range q.Take(1, start) {
					delete(waiting, r)
					q.End(r.Organisation, true, start)
				}
				continue
			}
			r := in(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"), time.Hour)
			r.Priority, r.Bytes = rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 20).Draw(t, "size")
			o := q.Add(r, start)
			if !o.IsRefused {
				waiting[r] = true
			}
			for _, d := range o.Displaced {
				if d.Priority < r.Priority && !o.IsRefused {
					t.Fatal("a more urgent request was displaced")
				}
				delete(waiting, d)
			}
			bytes := 0
			for w := range waiting {
				bytes += w.Bytes
			}
			if q.Len() != len(waiting) || q.Len() > l.Requests || bytes > l.Bytes || bytes != q.bytes {
				t.Fatalf("%d requests of %d bytes wait, counted are %d of %d", len(waiting), bytes, q.Len(), q.bytes)
			}
		}
	})
}

// A request that would be late anyway must not wait, and its caller must learn when there is room.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	now := start
	for range 100 {
		r := in("a", time.Hour)
		r.HasBegun = true
		q.Add(r, now)
	}
	// 50 requests end in a second.
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		for _, r := range q.Take(1, now) {
			q.End(r.Organisation, true, now)
		}
	}
	o := q.Add(in("a", 1600*time.Millisecond), now)
	is.True(o.IsRefused)
	is.True(o.RetryAfter > 900*time.Millisecond && o.RetryAfter < 1100*time.Millisecond)
	is.True(!q.Add(in("a", 2100*time.Millisecond), now).IsRefused)
	// Another organisation waits only for its share.
	is.True(!q.Add(in("b", 1100*time.Millisecond), now).IsRefused)
	urgent := in("c", 1100*time.Millisecond)
	urgent.Priority = -1
	is.True(!q.Add(urgent, now).IsRefused)
}

// At the beginning of a burst nothing is known of the time that others need, so that nobody is refused
// for it.
func TestBurstIsNotRefusedBeforeItsRateIsKnown(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	for range 500 {
		is.True(!q.Add(in("a", 100*time.Millisecond), start).IsRefused)
	}
}

// A request that all targets have refused must not keep others from trying, and keeps its place.
func TestRequestThatWasRefusedByTargetsLetsOthersTry(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	first, second := in("a", time.Hour), in("a", time.Hour)
	q.Add(first, start)
	q.Add(second, start)
	is.True(q.Take(1, start)[0] == first)
	q.End("a", false, start)
	q.Add(first, start)
	is.True(q.Take(1, start)[0] == second)
	q.Add(second, start.Add(time.Millisecond))
	is.Equal(len(q.Take(2, start)), 0)
	is.True(q.Take(1, start.Add(time.Second))[0] == first)
}

// A host has room for one or two requests at once, so that organisations have to take turns by what they
// got before.
func TestRoomForOneRequestIsShared(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	now := start
	for range 100 {
		q.Add(in("flood", time.Hour), now)
	}
	got := map[string]int{}
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		if i >= 20 {
			q.Add(in("usual", 2*time.Hour), now)
		}
		for _, r := range q.Take(1, now) {
			got[r.Organisation]++
			q.End(r.Organisation, true, now)
		}
	}
	is.True(got["usual"] >= 10)
	is.Equal(got["usual"]+got["flood"], 40)
}

func TestQueueForgetsOrganisations(t *testing.T) {
	is := is.New(t)
	q := New(wide)
	r := in("a", time.Hour)
	q.Add(r, start)
	is.True(q.Remove(r) && !q.Remove(r))
	q.Begin("b", start)
	is.True(!q.IsIdle())
	q.End("b", true, start)
	is.True(q.IsIdle())
}
