package occupancy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/rendezvous"
)

// The counter agrees with a plain model whatever the order of admissions, ends that come
// twice or not at all, and time that passes.
func TestCounterCountsRequestsInProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Counter
		now := time.Unix(1000, 0)
		model := make(map[uint64]time.Time)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				lease := rapid.Uint64Range(1, 50).Draw(t, "lease")
				limit := rapid.IntRange(0, 20).Draw(t, "limit")
				ttl := time.Duration(rapid.Int64Range(1, 5000).Draw(t, "ttl ms")) * time.Millisecond
				before := len(model)
				r := c.Admit(lease, limit, ttl, now)
				if r.InProgress != before || r.Admitted != (limit == 0 || before < limit) {
					t.Fatalf("%+v with %d in progress and a limit of %d", r, before, limit)
				}
				if r.Admitted {
					model[lease] = now.Add(ttl)
				}
			},
			"finish": func(t *rapid.T) {
				lease := rapid.Uint64Range(1, 50).Draw(t, "lease")
				c.Finish(lease, 1, Answered, now)
				delete(model, lease)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for lease, until := range model {
					if !now.Before(until) {
						delete(model, lease)
					}
				}
			},
		})
	})
}

// A target that fails requests at once has the fewest in progress. Without the reports
// of its failures it would get the most requests.
func TestTargetThatFailsRequestsOfSeveralHostsIsSuspect(t *testing.T) {
	is := is.New(t)
	var c Counter
	now := time.Unix(1000, 0)
	for lease := range uint64(20) {
		c.Finish(lease, 1, Failed, now)
	}
	is.True(c.Admit(100, 5, time.Second, now).Admitted) // one host alone may be cut off
	c.Finish(100, 2, Failed, now)
	r := c.Admit(101, 5, time.Second, now)
	is.True(r.IsSuspect)
	is.True(!r.Admitted)
	is.True(c.Admit(102, 0, time.Second, now).Admitted)
	is.True(!c.Admit(103, 5, time.Second, now.Add(reportTTL+time.Second)).IsSuspect)
}

func TestRequestsThatAreNeverFinishedStopCounting(t *testing.T) {
	is := is.New(t)
	var c Counter
	now := time.Unix(1000, 0)
	c.Admit(1, 0, 24*time.Hour, now)
	is.Equal(c.Admit(2, 0, time.Second, now.Add(maxLeaseTTL-time.Second)).InProgress, 1)
	is.True(c.IsIdle(now.Add(maxLeaseTTL)))
}

func TestLeastOccupiedPrefersTargetsThatAreNotSuspect(t *testing.T) {
	is := is.New(t)
	is.Equal(LeastOccupied([]Reply{{InProgress: 1, IsSuspect: true}, {InProgress: 9}, {InProgress: 7}, {InProgress: 7}}), 2)
	is.Equal(LeastOccupied([]Reply{{InProgress: 3, IsSuspect: true}, {InProgress: 2, IsSuspect: true}}), 1)
}

func TestBoundFollowsTheLoad(t *testing.T) {
	is := is.New(t)
	var b Bound
	is.Equal(b.Limit(12, 0), 1)
	for range 100 {
		b.Observe(8)
	}
	is.Equal(b.Limit(12, 0), 11)
	is.Equal(b.Limit(0, 0), 11)
	is.Equal(b.Limit(0, 2*tokensPerRequest), 13) // two requests more are better than to read the history again
	is.Equal(b.Limit(12, 2*tokensPerRequest), 12)
	for range 100 {
		b.Observe(40)
	}
	is.Equal(b.Limit(12, 0), 12)
}

// turn is a request in progress of the replay.
type turn struct {
	end    float64
	lease  uint64
	target int
}

type turns []turn

func (t turns) Len() int           { return len(t) }
func (t turns) Less(i, j int) bool { return t[i].end < t[j].end }
func (t turns) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *turns) Push(x any)        { *t = append(*t, x.(turn)) }
func (t *turns) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// replay runs turns of many hosts that arrive independently and returns the share that
// found all slots of its target taken, and the share at the target that its program
// prefers.
func replay(hosts, targets, slots int, load float64, seed uint64, isPlaced bool) (full, home float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	names := make([]int, targets)
	for i := range names {
		names[i] = i
	}
	const programs = 500
	orders := make([][]int, programs)
	for i := range orders {
		orders[i] = rendezvous.Order(fmt.Sprint(i), names, func(i int) string { return fmt.Sprint(i) })
	}
	counters := make([]Counter, targets)
	bounds := make([]Bound, hosts)
	var running turns
	const turnTime, total = 0.4, 8_000
	rate := load * float64(targets*slots) / turnTime
	at := 0.0
	fulls, homes := 0, 0
	for lease := range uint64(total) {
		at += r.ExpFloat64() / rate
		now := time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
		for len(running) > 0 && running[0].end <= at {
			ended := heap.Pop(&running).(turn)
			counters[ended.target].Finish(ended.lease, 1, Answered, now)
		}
		order := orders[r.IntN(programs)]
		target := order[0]
		b := &bounds[r.IntN(hosts)]
		var replies []Reply
		for i, candidate := range order[:4] {
			limit := 0
			if isPlaced {
				limit = b.Limit(slots, 0)
			}
			reply := counters[candidate].Admit(lease, limit, time.Minute, now)
			if i == 0 {
				b.Observe(reply.InProgress)
			}
			replies = append(replies, reply)
			if reply.Admitted {
				target = candidate
				break
			}
		}
		if last := replies[len(replies)-1]; !last.Admitted {
			target = order[LeastOccupied(replies)]
			counters[target].Admit(lease, 0, time.Minute, now)
		}
		if len(counters[target].leases) > slots {
			fulls++
		}
		if target == order[0] {
			homes++
		}
		heap.Push(&running, turn{end: at + turnTime*(0.5+r.Float64()), lease: lease, target: target})
	}
	return float64(fulls) / total, float64(homes) / total
}

// A burst on many targets, where each host sees a small part of the load. With every
// request at its program's target, some targets queue while others have free slots.
func TestBurstOfManyHostsFindsFreeSlots(t *testing.T) {
	for _, c := range []struct {
		hosts, targets, slots int
		load                  float64
	}{{87, 45, 12, 0.8}, {13, 14, 16, 0.8}, {410, 120, 8, 0.7}, {12, 9, 4, 0.6}} {
		t.Run(fmt.Sprintf("%d hosts %d targets", c.hosts, c.targets), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(2) {
				unplaced, _ := replay(c.hosts, c.targets, c.slots, c.load, seed, false)
				placed, home := replay(c.hosts, c.targets, c.slots, c.load, seed, true)
				t.Logf("full: %.3f of %.3f, at the preferred target: %.3f", placed, unplaced, home)
				is.True(unplaced > 0.05)
				is.True(placed < unplaced/10)
				is.True(home > 0.5)
			}
		})
	}
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	var c Counter
	now := time.Unix(1000, 0)
	for lease := range uint64(12) {
		c.Admit(lease, 0, time.Hour, now)
	}
	b.ReportAllocs()
	for i := range b.N {
		lease := uint64(100 + i)
		c.Admit(lease, 16, time.Second, now)
		c.Finish(lease, 1, Answered, now)
	}
}
