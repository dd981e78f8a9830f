package cardinality

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

// Without a bound, a configuration with many organisations, or many that follow each other, makes a
// process keep a series for each name that it has ever seen.
func TestLabelsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		n := NewNames(limit)
		labels := map[string]bool{}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "occurrences") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
			name := strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "name"))
			label := n.Label(name, rapid.IntRange(1, 30).Draw(t, "total"), now)
			if label != name && label != Other {
				t.Fatalf("%s has the label %s", name, label)
			}
			if label != Other {
				labels[label] = true
			}
			if len(labels) > limit {
				t.Fatalf("%d labels, limit %d", len(labels), limit)
			}
		}
	})
}

// Names that come first must not get the labels of those that are counted most.
func TestMostFrequentNamesGetLabels(t *testing.T) {
	is := is.New(t)
	n := NewNames(2)
	start := time.Unix(1000, 0)
	for i := range 300 {
		name := "rare" + strconv.Itoa(i)
		switch i % 3 {
		case 1:
			name = "large"
		case 2:
			name = "larger"
		}
		is.Equal(n.Label(name, 1000, start.Add(time.Duration(i)*time.Millisecond)), Other)
	}
	after := start.Add(window + time.Second)
	is.Equal(n.Label("large", 1000, after), "large")
	is.Equal(n.Label("larger", 1000, after), "larger")
	is.Equal(n.Label("rare0", 1000, after), Other)
}

func TestFewNamesGetLabelsAtOnce(t *testing.T) {
	is := is.New(t)
	n := NewNames(2)
	is.Equal(n.Label("a", 2, time.Unix(1000, 0)), "a")
	is.Equal(n.Label("b", 2, time.Unix(1000, 0)), "b")
	is.Equal(n.Label("c", 2, time.Unix(1000, 0)), Other)
}
