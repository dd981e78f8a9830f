package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/targetload"
)

// learn records a speed of each target of a fleet.
func learn(f *Fleet, rates map[string]float64, limit int, now time.Time) {
	for id, rate := range rates {
		startedAt, _, _ := f.Run(id)
		f.Learn(id, startedAt, targetload.Estimate{Limit: limit, EventsPerSecond: rate}, now)
	}
	f.ObserveStream("s", 60)
}

// Estimates of like targets differ a little. Choices must be as without them.
func TestLikeTargetsAreChosenAsWithoutEstimates(t *testing.T) {
	is := is.New(t)
	plain, f := newFleet(9), newFleet(9)
	draw := rand.New(rand.NewPCG(5, 6))
	rates := make(map[string]float64)
	for _, id := range f.IDs() {
		rates[id] = 80 * (1 + 0.1*draw.Float64())
	}
	learn(f, rates, 3, start)
	for n := range 50 {
		r := Request{Service: "s", Affinity: fmt.Sprint("program", n)}
		want, got := plain.Choose(r, start.Add(time.Second)), f.Choose(r, start.Add(time.Second))
		is.Equal(got.ID, want.ID)
		is.Equal(got.Cost, want.Cost)
	}
	limit, speed := f.Capacity(f.Members()[0], start.Add(time.Second))
	is.Equal(limit, f.Members()[0].Slots)
	is.Equal(speed, 1.0)
}

// A program must prefer the faster of its targets, also if the slower one was its first, and
// go back once the estimates are too old to say anything.
func TestProgramsPreferTheFasterOfTheirTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	learn(f, map[string]float64{"t0": 60, "t1": 120}, 1, start)
	chosen := make(map[string]int)
	for n := range 20 {
		c := f.Choose(Request{Service: "s", Affinity: fmt.Sprint("program", n)}, start.Add(time.Second))
		c.End(start.Add(time.Second), Answered, 20*time.Millisecond)
		chosen[c.ID]++
	}
	is.Equal(chosen["t1"], 20)
	limit, speed := f.Capacity(f.byID["t0"].Member, start.Add(time.Second))
	is.Equal(limit, 1)
	is.Equal(speed, 0.5)
	_, speed = f.Capacity(f.byID["t0"].Member, start.Add(learnedTTL+time.Second))
	is.Equal(speed, 1.0)
}

// A new run of a target under the same ID must not have the estimate of the run before.
func TestNewRunOfATargetIsNotKnown(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	learn(f, map[string]float64{"t0": 60, "t1": 120}, 1, start)
	m := f.byID["t1"].Member
	m.StartedAt++
	f.Put(m)
	ok := f.Learn("t1", m.StartedAt-1, targetload.Estimate{Limit: 1, EventsPerSecond: 60}, start)
	is.True(!ok)
	_, speed := f.Capacity(m, start.Add(time.Second))
	is.Equal(speed, 1.0)
}

// All plain targets fail some requests, so that all are suspect. One that fails most of them
// at once has the fewest in flight, and must not get more than the others.
func TestPlainTargetThatFailsAtOnceGetsNoMoreRequestsThanOthers(t *testing.T) {
	for _, o := range []Outcome{Failed, Broken} {
		t.Run(o.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			draw := rand.New(rand.NewPCG(9, uint64(o)))
			const perSecond, seconds, answerTime = 60, 30, 300 * time.Millisecond
			share := map[string]float64{"t0": 0.9, "t1": 0.2, "t2": 0.2}
			got := make(map[string]int)
			var active []ending // all answers take the same time
			for n := range perSecond * seconds {
				now := start.Add(time.Duration(n) * time.Second / perSecond)
				for len(active) > 0 && !active[0].at.After(now) {
					active[0].choice.End(active[0].at, Answered, 20*time.Millisecond)
					active = active[1:]
				}
				c := f.Choose(Request{Service: "s"}, now)
				got[c.ID]++
				if draw.Float64() < share[c.ID] {
					c.End(now.Add(time.Millisecond), o, time.Millisecond)
					continue
				}
				active = append(active, ending{at: now.Add(answerTime), choice: c})
			}
			t.Logf("requests %v", got)
			is.True(got["t0"] <= min(got["t1"], got["t2"]))
		})
	}
}
