package config

import "sync/atomic"

// Holder keeps the snapshot in force. Reads are lock-free; a version never
// goes down.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Offer puts a snapshot in force if it is newer, and says whether it did.
func (h *Holder) Offer(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
