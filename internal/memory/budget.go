// Package memory limits the memory that the requests of a host use together.
package memory

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// minShareBytes is what a share may hold whatever the others hold, as long as the budget
// has room.
const minShareBytes = 16 << 10

// ErrFull says that a share can't grow.
var ErrFull = errors.New("memory for answers is used up")

// Budget is an amount of memory that many requests share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes all shares hold.
func (b *Budget) Used() int64 { return b.used.Load() }

// NewShare returns an empty share of the budget, which has to be released.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Share is the part of a budget that one request holds. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	held   int64
}

// Held returns how many bytes the share holds.
func (s *Share) Held() int64 { return s.held }

// Grow adds n bytes. It returns ErrFull, and adds nothing, if the share would hold more than
// the other shares leave free after it: the fuller the budget, the less a single request may
// hold, so that few large answers don't keep out many small ones.
func (s *Share) Grow(n int64) error {
	used := s.budget.used.Add(n)
	held := s.held + n
	if used > s.budget.limit || held > max(s.budget.limit-used, minShareBytes) {
		s.budget.used.Add(-n)
		return ErrFull
	}
	s.held = held
	return nil
}

// Cover grows the share to n bytes at least, and by half of what it holds, so that it seldom
// has to grow. It returns ErrFull like Grow.
func (s *Share) Cover(n int64) error {
	if n <= s.held {
		return nil
	}
	if step := s.held + s.held/2; step > n && s.Grow(step-s.held) == nil {
		return nil
	}
	return s.Grow(n - s.held)
}

// Release gives all bytes back. The share may be used again.
func (s *Share) Release() {
	s.budget.used.Add(-s.held)
	s.held = 0
}
