package route

import "sync/atomic"

// Holder keeps the table in force. Reads are lock-free; a version never goes
// down.
type Holder struct{ current atomic.Pointer[Table] }

// Current returns the table in force, or nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Offer puts a table in force if it is newer, and says whether it did.
func (h *Holder) Offer(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}
