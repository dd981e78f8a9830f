// Package rendezvous orders things by their hash with a key. All who know the
// same things order them alike, and a thing that comes or goes moves no other.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the items in the order of the hash of key and their names, the
// highest first.
func Order[T any](key string, items []T, name func(T) string) []T {
	type ranked struct {
		item T
		hash uint64
	}
	list := make([]ranked, len(items))
	for i, item := range items {
		var d xxhash.Digest
		d.Reset()
		// A digest does not fail.
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
