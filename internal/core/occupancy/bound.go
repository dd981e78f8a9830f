package occupancy

import "math"

const (
	// meanGain is the weight of one count in the mean. A host of a large fleet sees
	// some ten counts a second.
	meanGain = 0.1
	// boundFactor is the multiple of the mean up to which a request goes to the
	// target that it prefers.
	boundFactor = 1.25
	// tokensPerRequest is the number of prompt tokens that take as long to read again
	// as a further request in progress delays a turn.
	tokensPerRequest = 3000
)

// Bound is the number of requests at a target from which on a request goes to another
// one. It follows the mean of the counts that the host sees, so that it holds at any
// load: consistent hashing with bounded loads. The zero value is ready for use. It is
// not safe for concurrent use.
type Bound struct {
	mean float64
	seen bool
}

// Observe records the requests in progress at the first target that a request prefers.
func (b *Bound) Observe(inProgress int) { b.ObserveAt(inProgress, 1) }

// ObserveAt does the same for a target with a speed relative to the others, above zero.
func (b *Bound) ObserveAt(inProgress int, speed float64) {
	load := float64(inProgress) / speed
	if !b.seen {
		b.mean, b.seen = load, true
		return
	}
	b.mean += meanGain * (load - b.mean)
}

// Limit returns the bound for a target with a number of slots, at least one. It is
// higher for a request with prompt tokens that the target has probably cached and others
// would have to read.
func (b *Bound) Limit(slots int, cachedTokens int64) int {
	return b.LimitAt(slots, cachedTokens, 1)
}

// LimitAt does the same for a target with a speed relative to the others: a target that is
// twice as fast ends twice the requests in the same time.
func (b *Bound) LimitAt(slots int, cachedTokens int64, speed float64) int {
	limit := int(math.Ceil(boundFactor*b.mean*speed)) + 1 + int(cachedTokens/tokensPerRequest)
	if slots > 0 {
		limit = min(limit, slots)
	}
	return max(limit, 1)
}

// LeastOccupied returns the index of the reply with the fewest requests in progress,
// suspect targets last, the first of equal ones.
func LeastOccupied(replies []Reply) int { return LeastLoaded(replies, nil) }

// LeastLoaded does the same with regard to the relative speeds of the targets, all above zero;
// nil if they are equal.
func LeastLoaded(replies []Reply, speeds []float64) int {
	load := func(i int) float64 {
		if speeds == nil {
			return float64(replies[i].InProgress)
		}
		return float64(replies[i].InProgress+1) / speeds[i]
	}
	best := 0
	for i, r := range replies {
		b := replies[best]
		if r.IsSuspect != b.IsSuspect {
			if b.IsSuspect {
				best = i
			}
			continue
		}
		if load(i) < load(best) {
			best = i
		}
	}
	return best
}
