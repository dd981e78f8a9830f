package testutil

import (
	"testing"

	"github.com/matryer/is"
)

// A port is taken by its process later than the next one is drawn. Two hosts of one test
// were given the same one, and the second did not come up.
func TestNoPortIsHandedOutTwice(t *testing.T) {
	is := is.New(t)
	seen := make(map[int]bool)
	for range 1000 {
		first := FreePorts(t, 2)
		for p := first; p < first+2; p++ {
			is.True(!seen[p])
			seen[p] = true
		}
	}
}
