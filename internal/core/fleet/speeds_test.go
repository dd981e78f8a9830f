package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/targetload"
)

// runTurns replays turns of programs at engines of uneven speed and returns the mean time of a
// turn in seconds. Hosts know the speeds if isLearned is set.
func runTurns(load float64, seed uint64, isLearned bool) float64 {
	const hosts, targets, slots, programs, turns, events, gap = 8, 12, 16, 400, 4000, 60, 0.012
	r := rand.New(rand.NewPCG(seed, 11))
	fleets, bounds := make([]*Fleet, hosts), make([]occupancy.Bound, hosts)
	speed := make(map[string]float64)
	counters := make(map[string]*occupancy.Counter)
	for i := range targets {
		id := fmt.Sprint("t", i)
		speed[id], counters[id] = 0.7+float64(i)/(targets-1), &occupancy.Counter{}
	}
	for h := range fleets {
		fleets[h] = New("here", uint64(h))
		for i := range targets {
			fleets[h].Put(Member{ID: fmt.Sprint("t", i), Service: "s", DataCentre: "here", Slots: slots})
		}
	}
	home := make([]string, programs) // the target that has cached a program's prompt
	var active endings
	at, total := 0.0, 0.0
	for lease := range uint64(turns) {
		at += r.ExpFloat64() * events * gap / (load * targets * slots * 1.2)
		now := start.Add(time.Duration(at * float64(time.Second)))
		for len(active) > 0 && !active[0].at.After(now) {
			e := heap.Pop(&active).(ending)
			counters[e.choice.ID].Finish(uint64(e.choice.InFlight), 1, occupancy.Answered, e.at)
			e.choice.End(e.at, Answered, 20*time.Millisecond)
		}
		h, program := r.IntN(hosts), r.IntN(programs)
		f := fleets[h]
		if isLearned {
			for id, s := range speed {
				f.Learn(id, 0, targetload.Estimate{Limit: slots, EventsPerSecond: s / gap}, now)
			}
			f.ObserveStream("s", events)
		}
		candidates := f.Candidates(Request{Service: "s", Affinity: fmt.Sprint(program), PromptTokens: 3000}, 4, now)
		index, replies := -1, []occupancy.Reply{}
		for i, m := range candidates {
			limit, s := f.Capacity(m, now)
			reply := counters[m.ID].Admit(lease, bounds[h].LimitAt(limit, 0, s), time.Minute, now)
			if i == 0 {
				bounds[h].ObserveAt(reply.InProgress, s)
			}
			replies = append(replies, reply)
			if reply.Admitted {
				index = i
				break
			}
		}
		if index < 0 {
			index = occupancy.LeastOccupied(replies)
			counters[candidates[index].ID].Admit(lease, 0, time.Minute, now)
		}
		id, n := candidates[index].ID, float64(replies[index].InProgress)
		took := events * gap * (1 + 0.008*n) * max(1, (n+1)/slots) / speed[id]
		if home[program] != id {
			took += 0.03 / speed[id]
			home[program] = id
		}
		total += took
		c := f.Begin(candidates[index], now)
		c.InFlight = int(lease)
		heap.Push(&active, ending{at: now.Add(time.Duration(took * float64(time.Second))), choice: c})
	}
	return total / turns
}

// Speeds must shorten turns at engines of uneven speed at any load. Guards against programs that
// all move to the fast engines and wait there, or that lose their cached prompts.
func TestKnownSpeedsShortenTurns(t *testing.T) {
	is := is.New(t)
	const seed = 0
	for _, load := range []float64{0.2, 0.5, 0.8, 0.95} {
		plain, learned := runTurns(load, seed, false), runTurns(load, seed, true)
		t.Logf("load %.2f: mean turn %.3f s, %.3f s with known speeds", load, plain, learned)
		is.True(learned < plain)
	}
}
