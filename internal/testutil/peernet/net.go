// Package peernet connects hosts of one process through port.Peers, with
// faults that tests inject.
package peernet

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// latency is the time that a message takes one way.
const latency = time.Millisecond

// Handlers are what a host offers to the others. Nil ones are not offered.
type Handlers struct {
	Gossip    func(context.Context, port.Gossip) (port.Gossip, error)
	GossipVia func(ctx context.Context, host string) (bool, error)
	Config    func() (version int64, document []byte, ok bool)
	Programs  port.Programs
	Log       port.Log
}

// Net carries calls between hosts.
type Network struct {
	mu    sync.Mutex
	hosts map[string]Handlers
	cuts  map[[2]string]bool
	// served holds a context per host that ends when it is removed.
	served map[string]served
	// paused holds when a paused host goes on.
	paused map[string]time.Time
}

type served struct {
	ctx context.Context
	end context.CancelFunc
}

// New returns a net without hosts.
func New() *Network {
	return &Network{hosts: make(map[string]Handlers), cuts: make(map[[2]string]bool), served: make(map[string]served), paused: make(map[string]time.Time)}
}

// Serve makes a host reachable.
func (n *Network) AddHost(id string, h Handlers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	ctx, end := context.WithCancel(context.Background())
	n.served[id] = served{ctx: ctx, end: end}
}

// Remove makes a host refuse all calls.
func (n *Network) RemoveHost(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
	if s, ok := n.served[id]; ok {
		s.end()
	}
}

// gone returns a context that ends when a host is removed.
func (n *Network) gone(id string) context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.served[id].ctx
}

// Cut drops messages from one host to another, in that direction alone.
func (n *Network) SetLinkDown(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

// Pause holds up what reaches a host, and its answers, for d.
func (n *Network) Pause(id string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[id] = time.Now().Add(d)
}

// await waits until a host is not paused, or ctx ends.
func (n *Network) await(ctx context.Context, id string) error {
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

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// Peers returns the calls that a host makes to others.
func (n *Network) Peers(from string) port.Peers { return &peers{net: n, from: from} }

type peers struct {
	net  *Network
	from string
}

// RefusedError says that a host does not listen.
type RefusedError struct{}

// Error implements error.
func (RefusedError) Error() string { return "connection refused" }

// call delivers a request, runs it, and delivers the answer.
func (p *peers) call(ctx context.Context, to string, run func(Handlers) error) error {
	if p.net.isCut(p.from, to) {
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
	if err := p.net.await(ctx, to); err != nil {
		return err
	}
	if err := run(h); err != nil {
		return err
	}
	if err := p.net.await(ctx, to); err != nil {
		return err
	}
	if p.net.isCut(to, p.from) {
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
