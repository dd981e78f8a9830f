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
// suspect targets last, the first of equal ones. Speeds are not regarded: where all targets
// are fuller than their bounds, a free slot counts for more.
func LeastOccupied(replies []Reply) int {
	best := 0
	for i, r := range replies {
		b := replies[best]
		if r.IsSuspect != b.IsSuspect {
			if b.IsSuspect {
				best = i
			}
			continue
		}
		if r.InProgress < b.InProgress {
			best = i
		}
	}
	return best
}
