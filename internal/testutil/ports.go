package testutil

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

const (
	// firstPort and lastPort bound the ports that tests give to processes. The
	// range is outside the system's ephemeral ports.
	firstPort = 10_000
	lastPort  = 30_000
	// portAttempts bounds the search for free ports.
	portAttempts = 100
)

// FreeAddress returns a loopback address whose port is free.
func FreeAddress(t *testing.T) string {
	t.Helper()
	return loopback(FreePorts(t, 1))
}

// FreePorts returns the first of count consecutive free ports. They are reserved until the test
// ends, as its processes listen only some time later, and may restart.
func FreePorts(t *testing.T, count int) int {
	t.Helper()
	for range portAttempts {
		first := firstPort + rand.IntN(lastPort-firstPort-count)
		reserved, err := reserveAll(first, count)
		if err != nil {
			continue
		}
		t.Cleanup(func() { releaseAll(reserved) })
		return first
	}
	t.Fatal("no free ports")
	return 0
}

// reserveAll reserves consecutive ports, all or none.
func reserveAll(first, count int) ([]*Reservation, error) {
	reserved := make([]*Reservation, 0, count)
	for p := first; p < first+count; p++ {
		r, err := reserve(p)
		if err != nil {
			releaseAll(reserved)
			return nil, err
		}
		reserved = append(reserved, r)
	}
	return reserved, nil
}

func releaseAll(reserved []*Reservation) {
	for _, r := range reserved {
		r.Release()
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
