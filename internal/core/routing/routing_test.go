package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(n, limit int) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		targets[i] = NewTarget(fmt.Sprint("t", i), "dc", i%6 == 0, 8, limit)
	}
	return targets
}

func picker() *Picker { return NewPicker(rand.New(rand.NewPCG(1, 2))) }

func request() *Request {
	return &Request{PromptTokens: 5000, PrefillRate: 5000, ServiceTime: 2, CacheFactor: 1}
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	targets := fleet(4, 100)
	holders := []Holder{{targets[2], 5000}}
	is.Equal(picker().Pick(request(), targets, holders).Target, targets[2])
	targets[2].Observe(Report{Load: 40, ObservedAt: start})
	is.True(picker().Pick(request(), targets, holders).Target != targets[2])
}

func TestHoldsForAFullHolder(t *testing.T) {
	is := is.New(t)
	targets := fleet(4, 4)
	for range 4 {
		is.True(targets[2].Begin(start, Slot{}))
	}
	is.True(!targets[2].Begin(start, Slot{}))
	is.True(targets[2].Begin(start, Slot{Entitled: true}))
	is.True(!targets[2].Begin(start, Slot{Entitled: true}))
	targets[2].End(start, Slot{})
	r := request()
	r.CanWait = true
	c := picker().Pick(r, targets, []Holder{{targets[2], 5000}})
	is.True(c.ShouldWait) // half a second for a slot against a second of prefill
	c = picker().Pick(r, targets, []Holder{{targets[2], 1000}})
	is.True(!c.ShouldWait)
}

func TestLeavingAndLostTargetsAreNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := fleet(rapid.IntRange(1, 8).Draw(t, "targets"), 2)
		usable := 0
		for _, one := range targets {
			one.SetState(State(rapid.IntRange(0, 3).Draw(t, "state")))
			if one.State() < Leaving {
				usable++
			}
		}
		holders := []Holder{{targets[0], 5000}}
		c := picker().Pick(request(), targets, holders)
		if usable > 0 && c.Target == nil {
			t.Fatal("a usable target was passed over")
		}
		if c.Target != nil && c.Target.State() >= Leaving {
			t.Fatal("picked a target without service")
		}
	})
}

func TestReportIsCorrectedByOwnDispatchesSince(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 10)[0]
	one.Begin(start, Slot{})
	one.Begin(start.Add(2*time.Second), Slot{})
	// The report was made when the first call ran, with four of others.
	one.Observe(Report{Load: 5, ObservedAt: start.Add(time.Second)})
	is.Equal(one.Load(), othersGain*4+2)
	one.End(start.Add(3*time.Second), Slot{})
	is.Equal(one.Load(), othersGain*4+1)
}

func TestOneSuspectAtATarget(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 10)[0]
	is.True(one.Begin(start, Slot{Suspect: true}))
	is.True(!one.Begin(start, Slot{Suspect: true}))
	is.True(one.Begin(start, Slot{}))
	one.End(start, Slot{Suspect: true})
	is.True(one.Begin(start, Slot{Suspect: true}))
}

func TestSubsetsSpreadOverTheTargets(t *testing.T) {
	is := is.New(t)
	targets := fleet(600, 1)
	used := map[*Target]int{}
	for h := range 410 {
		subset := Subset(fmt.Sprint("host", h), targets)
		is.Equal(len(subset), SubsetSize)
		for _, one := range subset {
			used[one]++
		}
	}
	is.Equal(len(used), 600)
	targets[0].SetState(Leaving)
	for _, one := range Subset("host1", targets) {
		is.True(one != targets[0])
	}
}

func TestWrongBeliefsDecay(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 1)[0]
	var b CacheLocations
	b.Set(one, 1000, start)
	is.Equal(b.Holders(start, nil)[0].Tokens, 1000.0)
	is.Equal(b.Holders(start.Add(calmHalfLife), nil)[0].Tokens, 500.0)
	one.Observe(Report{UsedTokens: 95, CapacityTokens: 100, Incarnation: 1})
	b.Set(one, 1000, start)
	is.Equal(b.Holders(start.Add(fullHalfLife), nil)[0].Tokens, 500.0)
	for range 100 {
		one.ObserveCache(1000, 0)
	}
	is.True(b.Holders(start, nil)[0].Tokens < 1)
	one.Observe(Report{Incarnation: 2}) // it restarted
	is.Equal(len(b.Holders(start, nil)), 0)
}

func TestOlderEventDoesNotUndoAnAnswer(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 1)[0]
	var b CacheLocations
	b.Set(one, 1000, start)
	b.Drop(one, start.Add(-time.Second))
	is.Equal(len(b.Holders(start, nil)), 1)
	b.Drop(one, start.Add(time.Second))
	is.Equal(len(b.Holders(start, nil)), 0)
}

func TestHealthFollowsItsSigns(t *testing.T) {
	is := is.New(t)
	var h Health
	is.Equal(h.State(start), Healthy)
	h.Draining(start)
	h.ReportReceived(false) // a late report does not undo the answer
	is.Equal(h.State(start.Add(time.Second)), Leaving)
	is.Equal(h.State(start.Add(drainingHold)), Healthy)
	later := start.Add(drainingHold)
	h.DialRefused(later)
	is.Equal(h.State(later), Down)
	is.Equal(h.State(later.Add(firstProbe)), Suspect)
	h.Answered()
	is.Equal(h.State(later), Healthy)
	h.ReportMissed(later)
	is.Equal(h.State(later), Suspect)
	h.ReportMissed(later)
	is.Equal(h.State(later), Down)
	h.ReportReceived(true)
	is.Equal(h.State(later), Leaving)
	h.ReportReceived(false)
	is.Equal(h.State(later), Healthy)
	h.ListedLeaving = true
	is.Equal(h.State(later), Leaving)
}

// The decision itself allocates nothing, whatever the number of targets.
func TestPickAllocates(t *testing.T) {
	is := is.New(t)
	targets := Subset("host", fleet(600, 4))
	holders := []Holder{{targets[1], 100}}
	p, r := picker(), request()
	is.Equal(testing.AllocsPerRun(100, func() { p.Pick(r, targets, holders) }), 0.0)
}

func TestMemoryIsKeptFreeWhilePrefixesAreLost(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 10)[0]
	one.Observe(Report{UsedTokens: 90, CapacityTokens: 100, Incarnation: 1})
	var m MemoryReserve
	large := &Request{Footprint: 20}
	small := &Request{Footprint: 0.2}
	is.True(one.takesNew(large)) // full, but nothing is lost
	for range 10 {
		m.Observe(1000, 0)
	}
	large.MemoryReserve, small.MemoryReserve = m.Share(), m.Share()
	is.True(!one.takesNew(large))
	is.True(one.takesNew(small))
	for range 2000 {
		m.Observe(1000, 1000)
	}
	is.Equal(m.Share(), 0.0)
}

func TestNewProgramsKeepOutOfLongQueues(t *testing.T) {
	is := is.New(t)
	one := fleet(1, 100)[0]
	for range 10 {
		is.True(one.takesNew(&Request{}))
		one.Begin(start, Slot{})
	}
	is.True(!one.takesNew(&Request{})) // eleven are beyond 1.25 times eight
}

func TestSpeedsFindTheRateUnderQueueing(t *testing.T) {
	is := is.New(t)
	var s Speeds
	for n := range 200 {
		wait := time.Duration(n%4) * 100 * time.Millisecond
		s.Observe(5000, 550*time.Millisecond+wait, 2*time.Second)
		s.Observe(10, 50*time.Millisecond+wait, 2*time.Second)
	}
	is.True(s.PrefillRate() > 8000 && s.PrefillRate() < 11000) // 10,000 a second
}
