package testutil

import (
	"net"
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

// A process that restarted found its port taken by another package's tests.
func TestReservedPortIsGivenToNobodyElse(t *testing.T) {
	is := is.New(t)
	first := FreePorts(t, 1)
	_, err := reserveAll(first, 1)
	is.True(err != nil)
	for range 2 { // a process and its restart
		l, err := net.Listen("tcp", loopback(first))
		is.NoErr(err)
		_, err = reserveAll(first, 1)
		is.True(err != nil)
		is.NoErr(l.Close())
	}
	_, err = reserveAll(first, 1)
	is.True(err != nil)
}
