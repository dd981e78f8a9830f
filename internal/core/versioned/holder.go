// Package versioned keeps the newest of values that have versions.
package versioned

import "sync/atomic"

// Value is a pointer to a value with a version.
type Value[T any] interface {
	*T
	// Number returns the version.
	Number() int64
}

// Holder keeps the value in force. Reads are lock-free; a version never goes
// down. The zero value holds nothing.
type Holder[T any, V Value[T]] struct{ current atomic.Pointer[T] }

// Current returns the value in force, or nil before the first.
func (h *Holder[T, V]) Current() *T { return h.current.Load() }

// Offer puts a value in force if it is newer, and says whether it did.
func (h *Holder[T, V]) StoreIfNewer(v *T) bool {
	for {
		old := h.current.Load()
		if old != nil && V(old).Number() >= V(v).Number() {
			return false
		}
		if h.current.CompareAndSwap(old, v) {
			return true
		}
	}
}
