// Package gate injects faults into a single host in a process of several hosts. All
// calls and connections of the host pass its gate, which can delay them or fail them
// permanently.
package gate

import (
	"net"
	"sync"
	"time"
)

// ClosedError reports that the gate was closed, which simulates that its host was
// killed.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "host was killed" }

// Gate passes, delays or permanently fails the calls and connections of a host. It is
// safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	paused chan struct{}
	closed chan struct{}
	conns  map[net.Conn]struct{}
}

// New returns an open gate.
func New() *Gate {
	return &Gate{closed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
}

// Pause delays all calls and connections until d has passed. Calls already in progress
// complete, but their results are delayed. Pause has no effect on a paused gate.
func (g *Gate) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		return
	}
	paused := make(chan struct{})
	g.paused = paused
	time.AfterFunc(d, func() { g.resume(paused) })
}

func (g *Gate) resume(paused chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = nil
	close(paused)
}

// Close permanently fails all connections and calls.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
		return
	default:
	}
	close(g.closed)
	for conn := range g.conns {
		conn.Close()
	}
}

// Closed returns a channel that is closed when the gate is closed.
func (g *Gate) Closed() <-chan struct{} { return g.closed }

// waitOpen waits while the gate is paused, regardless of the caller's deadline. It
// returns false if the gate is closed.
func (g *Gate) waitOpen() bool {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-g.closed:
		}
	}
	select {
	case <-g.closed:
		return false
	default:
		return true
	}
}

// track registers a connection to be closed by Close.
func (g *Gate) track(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = struct{}{}
}

func (g *Gate) untrack(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}
