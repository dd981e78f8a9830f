package testutil

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
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

// allocatedPorts holds the ports already returned to tests of this process. A test
// listens on its port only some time later.
var allocatedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// FreeAddress returns a loopback address whose port is free.
func FreeAddress(t *testing.T) string {
	t.Helper()
	return loopback(FreePorts(t, 1))
}

// FreePorts returns the first of count consecutive free ports.
func FreePorts(t *testing.T, count int) int {
	t.Helper()
	for range portAttempts {
		first := firstPort + rand.IntN(lastPort-firstPort-count)
		if areFree(first, count) && allocate(first, count) {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func areFree(first, count int) bool {
	for p := first; p < first+count; p++ {
		listener, err := net.Listen("tcp", loopback(p))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// allocate reserves ports, or returns false if one of them is already reserved.
func allocate(first, count int) bool {
	allocatedPorts.Lock()
	defer allocatedPorts.Unlock()
	for p := first; p < first+count; p++ {
		if allocatedPorts.ports[p] {
			return false
		}
	}
	for p := first; p < first+count; p++ {
		allocatedPorts.ports[p] = true
	}
	return true
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
