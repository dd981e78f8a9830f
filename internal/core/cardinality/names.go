// Package cardinality bounds how many values a label of metrics takes.
package cardinality

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Other is the label of all names without one of their own.
const Other = "_other"

// window is how long names are counted before the most frequent ones get labels. It is a few
// reports of metrics, so that one burst of a second does not decide.
const window = 10 * time.Second

// Names gives labels to at most a number of names, the most frequent ones first. A label is never taken
// back, because metrics keep the series of each label that they have seen. It is not safe for
// concurrent use.
type Names struct {
	limit int
	// labelled are the names with labels of their own.
	labelled map[string]bool
	// counts are the occurrences of other names in the current window. They are not counted once all
	// labels are given.
	counts   map[string]int
	windowAt time.Time
}

// NewNames returns an empty set of up to limit labels, Other not included.
func NewNames(limit int) *Names {
	return &Names{limit: limit, labelled: make(map[string]bool), counts: make(map[string]int)}
}

// Label counts an occurrence of a name and returns its label. total is the number of names that there
// are: if all may have labels, they get them at once.
func (n *Names) Label(name string, total int, now time.Time) string {
	n.closeWindow(now)
	if n.labelled[name] {
		return name
	}
	if len(n.labelled) >= n.limit {
		return Other
	}
	if total <= n.limit {
		n.labelled[name] = true
		return name
	}
	n.counts[name]++
	return Other
}

// closeWindow gives the free labels to the most frequent names of a window that has passed.
func (n *Names) closeWindow(now time.Time) {
	if n.windowAt.IsZero() {
		n.windowAt = now
	}
	if now.Sub(n.windowAt) < window {
		return
	}
	n.windowAt = now
	// Names of equal frequency are ordered, so that all hosts tend to choose the same ones.
	names := slices.SortedFunc(maps.Keys(n.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(n.counts[b], n.counts[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), n.limit-len(n.labelled))] {
		n.labelled[name] = true
	}
	clear(n.counts)
}
