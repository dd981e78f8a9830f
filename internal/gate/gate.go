// Package gate stands between a host and all that it reaches, so that a host
// which shares its process with others can be frozen or killed alone.
package gate

import (
	"net"
	"sync"
	"time"
)

// ClosedError says that the host behind the gate was killed.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "host was killed" }

// Gate lets a host's calls and connections pass, holds them up, or breaks
// them all for good.
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

// Pause holds up all that would pass, for d. What is already on its way
// arrives at its end and is held up there.
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

// Close breaks all connections and calls, for good.
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

// Closed is closed when the gate is.
func (g *Gate) Closed() <-chan struct{} { return g.closed }

// pass waits while the gate is paused, whatever the caller's deadline, and
// says whether the gate is not closed.
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

// add keeps a connection to be broken by Close.
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
