package routing

import "math/rand/v2"

// choices is how many random targets a decision looks at.
const choices = 4

// Choice is the outcome of a decision.
type Choice struct {
	// Target is nil if no target has room.
	Target *Target
	// Cached is the number of tokens that the target is taken to hold.
	Cached float64
	// Hold says that waiting for a target that holds the prefix costs less
	// than any target with room.
	ShouldWait bool
}

// Policy chooses a target among the candidates and the holders of a prefix.
type Policy interface {
	Pick(r *Request, candidates []*Target, holders []Holder) Choice
}

// Picker is the policy of this package: the least cost among the holders and
// a few random candidates. It is not safe for concurrent use.
type Picker struct {
	random *rand.Rand
}

// NewPicker returns a picker with its own source of randomness.
func NewPicker(random *rand.Rand) *Picker { return &Picker{random: random} }

// Pick implements Policy.
func (p *Picker) Pick(r *Request, candidates []*Target, holders []Holder) Choice {
	best := choice{}
	for i := range holders {
		best.offer(r, holders[i].Target, holders[i].Tokens)
	}
	for range min(choices, len(candidates)) {
		t := candidates[p.random.IntN(len(candidates))]
		best.offer(r, t, tokensAt(holders, t))
	}
	if best.target == nil {
		p.scan(r, candidates, holders, &best)
	}
	if r.CanWait {
		best.hold = best.holdFor(r, holders)
	}
	return Choice{Target: best.target, Cached: best.cached, ShouldWait: best.hold}
}

// scan looks at all candidates from a random one on until one has room.
func (p *Picker) scan(r *Request, candidates []*Target, holders []Holder, best *choice) {
	if len(candidates) == 0 {
		return
	}
	start := p.random.IntN(len(candidates))
	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		best.offer(r, t, tokensAt(holders, t))
		if best.target != nil && best.target.State() == Healthy {
			return
		}
	}
}

func tokensAt(holders []Holder, t *Target) float64 {
	for i := range holders {
		if holders[i].Target == t {
			return holders[i].Tokens
		}
	}
	return 0
}

type choice struct {
	target *Target
	cached float64
	cost   float64
	hold   bool
}

func (c *choice) offer(r *Request, t *Target, cached float64) {
	if !t.open(r.Slot) || r.NewProgram && !t.takesNew(r) {
		return
	}
	cost := r.Cost(t, cached)
	if c.target == nil || cost < c.cost {
		c.target, c.cached, c.cost = t, cached, cost
	}
}

// holdFor says whether a full holder is worth the wait.
func (c *choice) holdFor(r *Request, holders []Holder) bool {
	if c.target == nil {
		return false
	}
	for i := range holders {
		t := holders[i].Target
		if t.open(r.Slot) || t.State() != Healthy {
			continue
		}
		if r.Cost(t, holders[i].Tokens)+r.slotWait(t) < c.cost {
			return true
		}
	}
	return false
}
