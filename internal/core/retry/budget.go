// Package retry bounds how much load retries may add to a group of targets.
package retry

// Share is the most retries per first attempt in the long run.
const Share = 0.1

// Burst is how many retries a group may make before it has seen any load.
const Burst = 3

// bucketSize is the most retries that quiet times can save up.
const bucketSize = 20

// Budget is a token bucket that first attempts fill and retries drain. The
// zero value is not ready; use NewBudget. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that holds Burst retries.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Attempt counts one dispatch, first or repeated.
func (b *Budget) Attempt() {
	b.tokens = min(b.tokens+Share, bucketSize)
}

// Take spends one retry, or returns false if there is none to spend. A retry
// costs what it will be credited as an attempt of its own on top.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= 1 + Share
	return true
}
