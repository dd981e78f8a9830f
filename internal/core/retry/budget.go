// Package retry limits the load that retries add to a group of targets.
package retry

// Share is the maximum number of retries per first attempt in the long run.
const Share = 0.1

// Burst is how many retries a group may make before its first attempts have added
// any.
const Burst = 3

// maxTokens is the maximum number of unused retries that accumulate.
const maxTokens = 20

// Budget is a token bucket that attempts fill and retries drain. The zero value is not
// ready to use; use NewBudget. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget of Burst retries.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Attempt counts one dispatch, whether first or repeated.
func (b *Budget) Attempt() {
	b.tokens = min(b.tokens+Share, maxTokens)
}

// Take spends one retry, or returns false if none is left. The price includes Share,
// which Attempt adds back when the retry is dispatched.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= 1 + Share
	return true
}
