package targetload

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine is how a target behaves at a time of the replay: speed is relative to an engine
// without load, slow the factor of the time per event at a load.
type engine struct {
	speed func(at float64) float64
	slow  func(at, load float64) float64
	// spikes is how many phases a minute there are in which it is 2.5 times slower for 600 ms.
	spikes float64
}

const (
	replayTick  = 0.02
	replayTime  = 150.0
	replayStart = 30.0 // the estimate has converged
	replaySlots = 16
	replayGap   = 0.012 // seconds per event of an engine of speed 1
	// replayHopeless is the share of the best fixed limit's events below which lower limits are
	// not played: the rate of events has one maximum over the load in all scenarios.
	replayHopeless = 0.85
	replayMaxLoss  = 0.05 // docs/design/overload-and-organisations.md, part 5
)

// replaySeeds is how many seeds of each scenario are played.
var replaySeeds = flag.Uint64("targetload.seeds", 3, "seeds of each scenario of the replay")

func batch(_, load float64) float64 { return 1 + 0.008*(load-1) }

// cliffAt returns an engine that becomes slower by a quarter for each request above limit.
func cliffAt(limit float64) func(float64, float64) float64 {
	return func(at, load float64) float64 { return batch(at, load) * (1 + 0.25*max(load-limit, 0)) }
}

func constant(x float64) func(float64) float64 { return func(float64) float64 { return x } }

var engines = map[string]engine{
	"flat":            {speed: constant(1), slow: batch},
	"step":            {speed: func(at float64) float64 { return map[bool]float64{true: 1.6, false: 0.7}[math.Mod(at, 60) < 30] }, slow: batch},
	"drift":           {speed: func(at float64) float64 { return 1.2 + 0.5*math.Sin(at/8) }, slow: batch},
	"noise":           {speed: constant(1), slow: batch, spikes: 12},
	"cliff":           {speed: constant(0.8), slow: cliffAt(10)},
	"low cliff":       {speed: constant(1), slow: cliffAt(4)},
	"cliff and noise": {speed: constant(1.3), slow: cliffAt(9), spikes: 12},
	"cliff and drift": {speed: func(at float64) float64 { return 1.2 + 0.4*math.Sin(at/8) }, slow: cliffAt(11)},
	"cliff and step": {
		speed: func(at float64) float64 { return map[bool]float64{true: 1.5, false: 0.8}[math.Mod(at, 60) < 30] },
		slow:  cliffAt(8),
	},
}

type running struct {
	started, first, events, total, loads float64
	inProgress                           int
}

// play replays requests at a target that always has more than it may run, and returns the
// events after replayStart. limit is called at each tick.
func play(g engine, seed uint64, limit func(now time.Time) int, observe func(Sample, float64, time.Time)) float64 {
	r := rand.New(rand.NewPCG(seed, 7))
	noise := rand.New(rand.NewPCG(seed, 8)) // the same whatever the limit
	var active []*running
	done, spikeUntil := 0.0, 0.0
	for at := 0.0; at < replayTime; at += replayTick {
		now := time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
		if noise.Float64() < g.spikes/60*replayTick {
			spikeUntil = at + 0.6
		}
		for most := limit(now); len(active) < most; {
			active = append(active, &running{started: at, total: 40 + r.Float64()*80, inProgress: len(active)})
		}
		load := float64(len(active))
		gap := replayGap * g.slow(at, load) / g.speed(at)
		if at < spikeUntil {
			gap *= 2.5
		}
		kept := active[:0]
		for _, q := range active {
			q.loads += load * replayTick
			q.events += replayTick / gap
			if q.first == 0 {
				q.first = at + replayTick
			}
			if at >= replayStart {
				done += replayTick / gap
			}
			if q.events < q.total {
				kept = append(kept, q)
				continue
			}
			spent := at + replayTick - q.started
			if observe != nil {
				prompt := int64(500 + r.IntN(4500))
				measured := spent / q.events * math.Exp(0.05*r.NormFloat64())
				observe(Sample{
					First: time.Duration((float64(prompt)/prefillTokensPerSecond + 0.01) * float64(time.Second)), Gap: time.Duration(measured * float64(time.Second)),
					Events: int(q.events), PromptTokens: prompt, InProgress: q.inProgress,
				}, q.loads/spent, now)
			}
		}
		active = kept
	}
	return done
}

// A learned limit must cost little against the best fixed one that could be known only
// afterwards, whatever the target does. Guards against limits that follow noise or a change
// of speed, and against those that stay above a cliff.
func TestLossAgainstTheBestFixedLimit(t *testing.T) {
	for name, g := range engines {
		t.Run(name, func(t *testing.T) {
			for seed := range *replaySeeds {
				best, bestLimit := 0.0, 0
				for fixed := replaySlots; fixed > 0; fixed-- {
					done := play(g, seed, func(time.Time) int { return fixed }, nil)
					if done > best {
						best, bestLimit = done, fixed
					}
					if done < replayHopeless*best {
						break // lower ones are worse still
					}
				}
				e := New(replaySlots)
				limits := make(map[int]int)
				learned := play(g, seed, func(now time.Time) int {
					if l := e.Estimate(now).Limit; l > 0 {
						limits[l]++
						return l
					}
					return replaySlots
				}, e.Observe)
				loss := 1 - learned/best
				t.Logf("seed %d: loss %.3f against a limit of %d, limits %s", seed, loss, bestLimit, fmt.Sprint(limits))
				if loss > replayMaxLoss {
					t.Errorf("seed %d: loss %.3f", seed, loss)
				}
			}
		})
	}
}
