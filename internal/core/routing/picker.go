package routing

import "math/rand/v2"

// sampleSize is how many random candidates are compared per decision.
const sampleSize = 4

// Choice is the result of a decision.
type Choice struct {
	// Target is nil if no target has a free slot.
	Target *Target
	// Cached is the expected number of cached tokens at the target.
	Cached float64
	// ShouldWait is set if waiting for a full target that holds the prefix costs less
	// than any target with a free slot.
	ShouldWait bool
}

// Policy chooses a target among the candidates and the holders of a prefix.
type Policy interface {
	Pick(r *Request, candidates []*Target, holders []Holder) Choice
}

// Picker is the policy that picks the target with the lowest cost among the holders
// and a few random candidates. It is not safe for concurrent use.
type Picker struct {
	random *rand.Rand
}

// NewPicker returns a picker that draws candidates from random.
func NewPicker(random *rand.Rand) *Picker { return &Picker{random: random} }

// Pick implements Policy.
func (p *Picker) Pick(r *Request, candidates []*Target, holders []Holder) Choice {
	best := bestChoice{}
	for i := range holders {
		best.offer(r, holders[i].Target, holders[i].Tokens)
	}
	for range min(sampleSize, len(candidates)) {
		t := candidates[p.random.IntN(len(candidates))]
		best.offer(r, t, cachedTokens(holders, t))
	}
	if best.target == nil {
		p.scanAll(r, candidates, holders, &best)
	}
	if r.CanWait {
		best.shouldWait = best.isWaitCheaper(r, holders)
	}
	return Choice{Target: best.target, Cached: best.cached, ShouldWait: best.shouldWait}
}

// scanAll compares all candidates, from a random one on, until a healthy one with a
// free slot is found.
func (p *Picker) scanAll(r *Request, candidates []*Target, holders []Holder, best *bestChoice) {
	if len(candidates) == 0 {
		return
	}
	start := p.random.IntN(len(candidates))
	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		best.offer(r, t, cachedTokens(holders, t))
		if best.target != nil && best.target.State() == Healthy {
			return
		}
	}
}

// cachedTokens returns the expected number of cached tokens at a target.
func cachedTokens(holders []Holder, t *Target) float64 {
	for i := range holders {
		if holders[i].Target == t {
			return holders[i].Tokens
		}
	}
	return 0
}

// bestChoice is the target with the lowest cost so far.
type bestChoice struct {
	target     *Target
	cached     float64
	cost       float64
	shouldWait bool
}

// offer replaces the best target if t can take the call at a lower cost.
func (c *bestChoice) offer(r *Request, t *Target, cached float64) {
	if !t.hasRoom(r.Slot) || r.NewProgram && !t.acceptsNewProgram(r) {
		return
	}
	cost := r.Cost(t, cached)
	if c.target == nil || cost < c.cost {
		c.target, c.cached, c.cost = t, cached, cost
	}
}

// isWaitCheaper reports whether waiting for a full holder costs less than the best
// target with a free slot.
func (c *bestChoice) isWaitCheaper(r *Request, holders []Holder) bool {
	if c.target == nil {
		return false
	}
	for i := range holders {
		t := holders[i].Target
		if t.hasRoom(r.Slot) || t.State() != Healthy {
			continue
		}
		if r.Cost(t, holders[i].Tokens)+r.slotWait(t) < c.cost {
			return true
		}
	}
	return false
}
