package experiment

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/core/routing"
	"yuccausher/internal/sched"
)

// Policy is a named way to decide.
type Policy struct {
	Name    string
	Variant sched.Variant
	// Plain callers send no deadline along.
	NoDeadlines bool
}

// Product is the scheduler as it is.
var Product = Policy{Name: "yuccausher"}

// The baselines. All but FirstCome send each call on at once and let the
// engines queue it.
var (
	// RoundRobin takes the targets in turn.
	RoundRobin = plain("round robin", func(r *rand.Rand) routing.Policy { return &roundRobin{next: r.IntN(hostCount)} })
	// LeastLoad takes the target with the least reported load.
	LeastLoad = plain("least load", func(*rand.Rand) routing.Policy { return leastReported{} })
	// Sticky keeps each program at one target.
	Sticky = plain("sticky", func(*rand.Rand) routing.Policy { return sticky{} })
	// FirstCome queues calls at the host, within its limits, and gives the
	// first the first free target.
	FirstCome = Policy{
		Name: "first come",
		Variant: sched.Variant{
			Policy:    func(r *rand.Rand) routing.Policy { return &firstFree{r} },
			FirstCome: true,
		},
		NoDeadlines: true,
	}
)

// Baselines are the policies that the product is measured against.
var Baselines = []Policy{RoundRobin, LeastLoad, Sticky, FirstCome}

func plain(name string, policy func(*rand.Rand) routing.Policy) Policy {
	return Policy{
		Name:        name,
		Variant:     sched.Variant{Policy: policy, FirstCome: true, Unlimited: true},
		NoDeadlines: true,
	}
}

// roundRobin takes the targets in turn.
type roundRobin struct{ next int }

// Pick implements routing.Policy.
func (p *roundRobin) Pick(r *routing.Request, candidates []*routing.Target, _ []routing.Holder) routing.Choice {
	for range candidates {
		p.next++
		t := candidates[p.next%len(candidates)]
		if t.State() < routing.Leaving {
			return routing.Choice{Target: t}
		}
	}
	return routing.Choice{}
}

// leastReported takes the target with the least load as reported, the first
// of several.
type leastReported struct{}

// Pick implements routing.Policy.
func (leastReported) Pick(_ *routing.Request, candidates []*routing.Target, _ []routing.Holder) routing.Choice {
	var best *routing.Target
	for _, t := range candidates {
		if t.State() >= routing.Leaving {
			continue
		}
		if best == nil || t.Reported() < best.Reported() {
			best = t
		}
	}
	return routing.Choice{Target: best}
}

// firstFree takes any target with room, from a random one on.
type firstFree struct{ random *rand.Rand }

// Pick implements routing.Policy.
func (p *firstFree) Pick(_ *routing.Request, candidates []*routing.Target, _ []routing.Holder) routing.Choice {
	start := p.random.IntN(max(len(candidates), 1))
	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		if t.State() < routing.Leaving && t.Running() < t.Limit() {
			return routing.Choice{Target: t}
		}
	}
	return routing.Choice{}
}

// sticky sends a program to one target by its ID, as long as that serves.
type sticky struct{}

// Pick implements routing.Policy.
func (sticky) Pick(r *routing.Request, candidates []*routing.Target, _ []routing.Holder) routing.Choice {
	var best *routing.Target
	var bestScore uint64
	for _, t := range candidates {
		if t.State() >= routing.Leaving {
			continue
		}
		score := xxhash.Sum64String(r.Program + "/" + t.Name)
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return routing.Choice{Target: best}
}
