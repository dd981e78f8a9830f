// Package peernet simulates the network between hosts of one process. It
// implements port.Peers, with faults that tests inject.
package peernet

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// latency is the one-way delay of a message.
const latency = time.Millisecond

// Handlers holds the calls that a host serves. Nil ones are not served.
type Handlers struct {
	Gossip    func(context.Context, port.Gossip) (port.Gossip, error)
	GossipVia func(ctx context.Context, host string) (bool, error)
	Config    func() (version int64, document []byte, ok bool)
	Programs  port.Programs
	Log       port.Log
}

// Network carries calls between hosts and injects faults.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]Handlers
	linksDown map[[2]string]bool
	// served holds a context per host, which is cancelled when it is removed.
	served map[string]served
	// paused holds the time at which each paused host continues.
	paused map[string]time.Time
}

type served struct {
	ctx context.Context
	end context.CancelFunc
}

// New returns a network without hosts.
func New() *Network {
	return &Network{hosts: make(map[string]Handlers), linksDown: make(map[[2]string]bool), served: make(map[string]served), paused: make(map[string]time.Time)}
}

// AddHost adds a host and makes it reachable.
func (n *Network) AddHost(id string, h Handlers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	ctx, end := context.WithCancel(context.Background())
	n.served[id] = served{ctx: ctx, end: end}
}

// RemoveHost removes a host: calls to it are refused, and its calls in flight
// are cancelled.
func (n *Network) RemoveHost(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
	if s, ok := n.served[id]; ok {
		s.end()
	}
}

// removedContext returns a context that is cancelled when a host is removed.
func (n *Network) removedContext(id string) context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.served[id].ctx
}

// SetLinkDown drops messages from one host to another while down is true. The
// reverse direction is unaffected.
func (n *Network) SetLinkDown(from, to string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linksDown[[2]string{from, to}] = down
}

// Pause delays requests to a host, and its answers, until d has passed.
func (n *Network) Pause(id string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[id] = time.Now().Add(d)
}

// waitWhilePaused waits until a host is not paused. It returns a *port.PeerError
// if ctx ends first.
func (n *Network) waitWhilePaused(ctx context.Context, id string) error {
	n.mu.Lock()
	wait := time.Until(n.paused[id])
	n.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return &port.PeerError{Host: id, Sent: true, Cause: ctx.Err()}
	case <-time.After(wait):
		return nil
	}
}

func (n *Network) isLinkDown(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linksDown[[2]string{from, to}]
}

// Peers returns a client for the calls that a host makes to others.
func (n *Network) Peers(from string) port.Peers { return &peers{net: n, from: from} }

type peers struct {
	net  *Network
	from string
}

// RefusedError reports that a host is not listening.
type RefusedError struct{}

// Error implements error.
func (RefusedError) Error() string { return "connection refused" }

// call delivers a request, runs it, and delivers the answer.
func (p *peers) call(ctx context.Context, to string, run func(Handlers) error) error {
	if p.net.isLinkDown(p.from, to) {
		<-ctx.Done()
		return &port.PeerError{Host: to, Sent: true, Cause: ctx.Err()}
	}
	time.Sleep(latency)
	p.net.mu.Lock()
	h, ok := p.net.hosts[to]
	p.net.mu.Unlock()
	if !ok {
		return &port.PeerError{Host: to, Cause: RefusedError{}}
	}
	if err := p.net.waitWhilePaused(ctx, to); err != nil {
		return err
	}
	if err := run(h); err != nil {
		return err
	}
	if err := p.net.waitWhilePaused(ctx, to); err != nil {
		return err
	}
	if p.net.isLinkDown(to, p.from) {
		<-ctx.Done()
		return &port.PeerError{Host: to, Sent: true, Cause: ctx.Err()}
	}
	time.Sleep(latency)
	return ctx.Err()
}

// Programs implements port.Peers.
func (p *peers) Programs(host string) port.Programs {
	return &programs{peers: p, host: host}
}

// Gossip implements port.Peers.
func (p *peers) Gossip(ctx context.Context, host string, g port.Gossip) (reply port.Gossip, err error) {
	err = p.call(ctx, host, func(h Handlers) (err error) {
		reply, err = h.Gossip(ctx, g)
		return err
	})
	return reply, err
}

// GossipVia implements port.Peers.
func (p *peers) GossipVia(ctx context.Context, via, host string) (reached bool, err error) {
	err = p.call(ctx, via, func(h Handlers) (err error) {
		reached, err = h.GossipVia(ctx, host)
		return err
	})
	return reached, err
}

// Config implements port.Peers.
func (p *peers) Config(ctx context.Context, host string) (version int64, document []byte, err error) {
	err = p.call(ctx, host, func(h Handlers) error {
		version, document, _ = h.Config()
		return nil
	})
	return version, document, err
}

// RelayAppend implements port.Peers.
func (p *peers) RelayAppend(ctx context.Context, host, stream string, records [][]byte) (offset int64, err error) {
	err = p.call(ctx, host, func(h Handlers) (err error) {
		offset, err = h.Log.Append(ctx, stream, records)
		return err
	})
	return offset, err
}
