package membership

import (
	"cmp"
	"slices"
	"strings"
)

// rowSet holds rows by ID, in the order of their IDs and of their positions.
type rowSet struct {
	byID    map[string]*row
	ordered []*row
	circle  []*row
}

func byID(a, b *row) int       { return strings.Compare(a.host.ID, b.host.ID) }
func byPosition(a, b *row) int { return cmp.Compare(a.position, b.position) }

// put adds a row, or replaces the one of the same ID.
func (s *rowSet) put(r *row) {
	s.byID[r.host.ID] = r
	s.ordered = insert(s.ordered, r, byID)
	s.circle = insert(s.circle, r, byPosition)
}

func insert(rows []*row, r *row, compare func(a, b *row) int) []*row {
	at, found := slices.BinarySearchFunc(rows, r, compare)
	if found {
		rows[at] = r
		return rows
	}
	return slices.Insert(rows, at, r)
}

// drop removes the rows that match and says whether there were any.
func (s *rowSet) drop(matches func(*row) bool) bool {
	before := len(s.ordered)
	for id, r := range s.byID {
		if matches(r) {
			delete(s.byID, id)
		}
	}
	s.ordered = slices.DeleteFunc(s.ordered, matches)
	s.circle = slices.DeleteFunc(s.circle, matches)
	return len(s.ordered) < before
}
