// Package rendezvous implements rendezvous (highest random weight) hashing. The
// order of a set of items depends only on the key and the items' names, and
// adding or removing an item does not change the order of the others.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the items sorted by descending hash of key and item name. Items
// with equal hashes are sorted by name. The input slice is not modified.
func Order[T any](key string, items []T, name func(T) string) []T {
	type ranked struct {
		item T
		hash uint64
	}
	list := make([]ranked, len(items))
	for i, item := range items {
		var d xxhash.Digest
		d.Reset()
		// xxhash.Digest never returns a write error.
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(name(item))
		list[i] = ranked{item: item, hash: d.Sum64()}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(name(a.item), name(b.item)))
	})
	ordered := make([]T, len(list))
	for i, r := range list {
		ordered[i] = r.item
	}
	return ordered
}
