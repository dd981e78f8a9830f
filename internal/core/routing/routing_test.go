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

func newTargets(n, limit int) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		targets[i] = NewTarget(fmt.Sprint("t", i), "dc", i%6 == 0, 8, limit)
	}
	return targets
}

func newPicker() *Picker { return NewPicker(rand.New(rand.NewPCG(1, 2))) }

func newRequest() *Request {
	return &Request{PromptTokens: 5000, PrefillRate: 5000, ServiceTime: 2, CacheFactor: 1}
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	targets := newTargets(4, 100)
	holders := []Holder{{targets[2], 5000}}
	is.Equal(newPicker().Pick(newRequest(), targets, holders).Target, targets[2])
	targets[2].Observe(Report{Load: 40, ObservedAt: start})
	is.True(newPicker().Pick(newRequest(), targets, holders).Target != targets[2])
}

func TestWaitsForFullHolder(t *testing.T) {
	is := is.New(t)
	targets := newTargets(4, 4)
	for range 4 {
		is.True(targets[2].Begin(start, Slot{}))
	}
	is.True(!targets[2].Begin(start, Slot{}))
	is.True(targets[2].Begin(start, Slot{Entitled: true}))
	is.True(!targets[2].Begin(start, Slot{Entitled: true}))
	targets[2].End(start, Slot{})
	r := newRequest()
	r.CanWait = true
	c := newPicker().Pick(r, targets, []Holder{{targets[2], 5000}})
	is.True(c.ShouldWait) // waiting for a slot takes half a second, a prefill one second
	c = newPicker().Pick(r, targets, []Holder{{targets[2], 1000}})
	is.True(!c.ShouldWait)
}

func TestLeavingAndDownTargetsAreNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := newTargets(rapid.IntRange(1, 8).Draw(t, "targets"), 2)
		usable := 0
		for _, target := range targets {
			target.SetState(State(rapid.IntRange(0, 3).Draw(t, "state")))
			if target.State() < Leaving {
				usable++
			}
		}
		holders := []Holder{{targets[0], 5000}}
		c := newPicker().Pick(newRequest(), targets, holders)
		if usable > 0 && c.Target == nil {
			t.Fatal("no target was picked although one was usable")
		}
		if c.Target != nil && c.Target.State() >= Leaving {
			t.Fatal("picked a target that is leaving or down")
		}
	})
}

func TestReportIsCorrectedByLaterDispatches(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 10)[0]
	target.Begin(start, Slot{})
	target.Begin(start.Add(2*time.Second), Slot{})
	// The report includes the first call and four calls of other hosts.
	target.Observe(Report{Load: 5, ObservedAt: start.Add(time.Second)})
	is.Equal(target.Load(), otherLoadGain*4+2)
	target.End(start.Add(3*time.Second), Slot{})
	is.Equal(target.Load(), otherLoadGain*4+1)
}

func TestTargetRunsOneSuspectCall(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 10)[0]
	is.True(target.Begin(start, Slot{Suspect: true}))
	is.True(!target.Begin(start, Slot{Suspect: true}))
	is.True(target.Begin(start, Slot{}))
	target.End(start, Slot{Suspect: true})
	is.True(target.Begin(start, Slot{Suspect: true}))
}

func TestSubsetsCoverAllTargets(t *testing.T) {
	is := is.New(t)
	targets := newTargets(600, 1)
	used := map[*Target]int{}
	for h := range 410 {
		subset := Subset(fmt.Sprint("host", h), targets)
		is.Equal(len(subset), SubsetSize)
		for _, target := range subset {
			used[target]++
		}
	}
	is.Equal(len(used), 600)
	targets[0].SetState(Leaving)
	for _, target := range Subset("host1", targets) {
		is.True(target != targets[0])
	}
}

func TestOutdatedLocationsDecay(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 1)[0]
	var locations CacheLocations
	locations.Set(target, 1000, start)
	is.Equal(locations.Holders(start, nil)[0].Tokens, 1000.0)
	is.Equal(locations.Holders(start.Add(normalHalfLife), nil)[0].Tokens, 500.0)
	target.Observe(Report{UsedTokens: 95, CapacityTokens: 100, Incarnation: 1})
	locations.Set(target, 1000, start)
	is.Equal(locations.Holders(start.Add(fullHalfLife), nil)[0].Tokens, 500.0)
	for range 100 {
		target.ObserveCache(1000, 0)
	}
	is.True(locations.Holders(start, nil)[0].Tokens < 1)
	target.Observe(Report{Incarnation: 2}) // the target restarted
	is.Equal(len(locations.Holders(start, nil)), 0)
}

func TestOlderDropDoesNotReplaceLaterRecord(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 1)[0]
	var locations CacheLocations
	locations.Set(target, 1000, start)
	locations.Drop(target, start.Add(-time.Second))
	is.Equal(len(locations.Holders(start, nil)), 1)
	locations.Drop(target, start.Add(time.Second))
	is.Equal(len(locations.Holders(start, nil)), 0)
}

func TestHealthStates(t *testing.T) {
	is := is.New(t)
	var h Health
	is.Equal(h.State(start), Healthy)
	h.Draining(start)
	h.ReportReceived(false) // a late report does not override the answer
	is.Equal(h.State(start.Add(time.Second)), Leaving)
	is.Equal(h.State(start.Add(drainingTimeout)), Healthy)
	later := start.Add(drainingTimeout)
	h.DialRefused(later)
	is.Equal(h.State(later), Down)
	is.Equal(h.State(later.Add(minDownTime)), Suspect)
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

// Pick must not allocate, regardless of the number of targets.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	targets := Subset("host", newTargets(600, 4))
	holders := []Holder{{targets[1], 100}}
	p, r := newPicker(), newRequest()
	is.Equal(testing.AllocsPerRun(100, func() { p.Pick(r, targets, holders) }), 0.0)
}

func TestMemoryIsReservedWhilePrefixesAreLost(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 10)[0]
	target.Observe(Report{UsedTokens: 90, CapacityTokens: 100, Incarnation: 1})
	var m MemoryReserve
	large := &Request{Footprint: 20}
	small := &Request{Footprint: 0.2}
	is.True(target.acceptsNewProgram(large)) // full, but no prefix was lost
	for range 10 {
		m.Observe(1000, 0)
	}
	large.MemoryReserve, small.MemoryReserve = m.Share(), m.Share()
	is.True(!target.acceptsNewProgram(large))
	is.True(target.acceptsNewProgram(small))
	for range 2000 {
		m.Observe(1000, 1000)
	}
	is.Equal(m.Share(), 0.0)
}

func TestNewProgramsAvoidLongQueues(t *testing.T) {
	is := is.New(t)
	target := newTargets(1, 100)[0]
	for range 10 {
		is.True(target.acceptsNewProgram(&Request{}))
		target.Begin(start, Slot{})
	}
	is.True(!target.acceptsNewProgram(&Request{})) // eleven calls exceed 1.25 times a concurrency of eight
}

func TestPrefillRateIsFoundDespiteQueueing(t *testing.T) {
	is := is.New(t)
	var s Speeds
	for n := range 200 {
		wait := time.Duration(n%4) * 100 * time.Millisecond
		s.Observe(5000, 550*time.Millisecond+wait, 2*time.Second)
		s.Observe(10, 50*time.Millisecond+wait, 2*time.Second)
	}
	is.True(s.PrefillRate() > 8000 && s.PrefillRate() < 11000) // the actual rate is 10,000 tokens per second
}
