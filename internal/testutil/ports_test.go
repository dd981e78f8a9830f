package testutil

import (
	"testing"

	"github.com/matryer/is"
)

// A process listens on its port only after the next port is chosen. Without a
// record of chosen ports, two hosts of one test got the same port and the second
// failed to start.
func TestNoPortIsAllocatedTwice(t *testing.T) {
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
