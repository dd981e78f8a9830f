package membership

import (
	"cmp"
	"slices"
	"strings"
)

// rowSet holds rows indexed by ID, sorted by ID and sorted by ring position.
type rowSet struct {
	byID   map[string]*row
	sorted []*row
	byRing []*row
}

func byID(a, b *row) int       { return strings.Compare(a.host.ID, b.host.ID) }
func byPosition(a, b *row) int { return cmp.Compare(a.position, b.position) }

// put adds a row or replaces the one with the same ID.
func (s *rowSet) put(r *row) {
	s.byID[r.host.ID] = r
	s.sorted = insert(s.sorted, r, byID)
	s.byRing = insert(s.byRing, r, byPosition)
}

func insert(rows []*row, r *row, compare func(a, b *row) int) []*row {
	at, found := slices.BinarySearchFunc(rows, r, compare)
	if found {
		rows[at] = r
		return rows
	}
	return slices.Insert(rows, at, r)
}

// drop removes the matching rows and reports whether there were any.
func (s *rowSet) drop(matches func(*row) bool) bool {
	before := len(s.sorted)
	for id, r := range s.byID {
		if matches(r) {
			delete(s.byID, id)
		}
	}
	s.sorted = slices.DeleteFunc(s.sorted, matches)
	s.byRing = slices.DeleteFunc(s.byRing, matches)
	return len(s.sorted) < before
}
