// Package versioned holds the newest version of a value.
package versioned

import "sync/atomic"

// Value is a pointer to a value with a version.
type Value[T any] interface {
	*T
	// Number returns the version number.
	Number() int64
}

// Holder holds the current value. Its version never decreases. It is safe for
// concurrent use, and reads are lock-free. The zero value holds no value.
type Holder[T any, V Value[T]] struct{ current atomic.Pointer[T] }

// Current returns the current value, or nil if none has been stored.
func (h *Holder[T, V]) Current() *T { return h.current.Load() }

// StoreIfNewer makes v the current value if its version is higher than that of
// the current one, and reports whether it did.
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
