package fleet

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lowLoad simulates a host at low load: five requests without affinity per second
// to 36 targets in four data centres that keep idle connections for nine seconds.
// Every third request must not be repeated and uses no connection that was idle for
// more than two seconds.
type lowLoad struct {
	fleet  *Fleet
	idle   map[string][]time.Time
	opened int
}

const (
	lowLoadTargets  = 36
	lowLoadCentres  = 4
	lowLoadRequests = 3000
	lowLoadGap      = 200 * time.Millisecond
	lowLoadWork     = 100 * time.Millisecond
	lowLoadKeep     = 9 * time.Second
	lowLoadOnce     = 2 * time.Second
)

func newLowLoad() *lowLoad {
	l := &lowLoad{fleet: New("here", 1), idle: make(map[string][]time.Time)}
	for i := range lowLoadTargets {
		m := member(string(rune('a' + i)))
		if i%lowLoadCentres > 0 {
			m.DataCentre = string(rune('0' + i%lowLoadCentres))
		}
		l.fleet.Put(m)
	}
	return l
}

func (l *lowLoad) hasIdle(id string, now time.Time, maxIdle time.Duration) bool {
	list := l.idle[id]
	return len(list) > 0 && now.Sub(list[len(list)-1]) <= maxIdle
}

// endings is a heap of the running requests, ordered by the time of their end.
type endings []ending

type ending struct {
	at     time.Time
	choice *Choice
}

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run replays the load and returns the number of connections opened.
func (l *lowLoad) run() int {
	draw := rand.New(rand.NewPCG(1, 2))
	now := start
	var running endings
	for n := range lowLoadRequests {
		now = now.Add(time.Duration(draw.ExpFloat64() * float64(lowLoadGap)))
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(ending)
			e.choice.End(e.at, Answered, e.at.Sub(e.choice.sentAt))
			l.idle[e.choice.ID] = append(l.idle[e.choice.ID], e.at)
		}
		maxIdle := lowLoadKeep
		if n%3 == 0 {
			maxIdle = lowLoadOnce
		}
		c := l.fleet.Choose(Request{Service: "s"}, now)
		if list := l.idle[c.ID]; l.hasIdle(c.ID, now, maxIdle) {
			l.idle[c.ID] = list[:len(list)-1]
		} else {
			l.opened++
		}
		heap.Push(&running, ending{at: now.Add(time.Duration(draw.ExpFloat64() * float64(lowLoadWork))), choice: c})
	}
	return l.opened
}

// A host at low load must use few targets, so that it opens at most one connection
// for ten requests.
func TestFewConnectionsAtLowLoad(t *testing.T) {
	is := is.New(t)
	opened := newLowLoad().run()
	t.Logf("%d connections for %d requests", opened, lowLoadRequests)
	is.True(10*opened <= lowLoadRequests)
}

// Targets that have not answered yet must not count as slow, and must not lower the
// median latency by which others count as slow.
func TestUnansweredTargetsAreIgnoredInMedian(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	first := f.Choose(Request{Service: "s"}, start)
	now := start.Add(200 * time.Millisecond)
	first.End(now, Answered, now.Sub(start))
	again := f.Choose(Request{Service: "s"}, now)
	is.Equal(again.ID, first.ID)
	is.True(f.Choose(Request{Service: "s"}, now).ID != first.ID)
}
