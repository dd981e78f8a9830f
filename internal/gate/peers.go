package gate

import (
	"context"

	"yuccausher/internal/port"
)

// Peers returns p with its calls going through the gate.
func (g *Gate) Peers(p port.Peers) port.Peers { return gatedPeers{p, g} }

type gatedPeers struct {
	peers port.Peers
	gate  *Gate
}

func peerClosedError(host string) error {
	return &port.PeerError{Host: host, Sent: true, Cause: ClosedError{}}
}

// Programs implements port.Peers.
func (p gatedPeers) Programs(host string) port.Programs {
	return gatedPrograms{p.peers.Programs(host), p.gate, host}
}

// Gossip implements port.Peers.
func (p gatedPeers) Gossip(ctx context.Context, host string, gossip port.Gossip) (port.Gossip, error) {
	return callThrough(p.gate, peerClosedError(host), func() (port.Gossip, error) {
		return p.peers.Gossip(ctx, host, gossip)
	})
}

// GossipVia implements port.Peers.
func (p gatedPeers) GossipVia(ctx context.Context, via, host string) (bool, error) {
	return callThrough(p.gate, peerClosedError(via), func() (bool, error) {
		return p.peers.GossipVia(ctx, via, host)
	})
}

// Config implements port.Peers.
func (p gatedPeers) Config(ctx context.Context, host string) (int64, []byte, error) {
	var version int64
	document, err := callThrough(p.gate, peerClosedError(host), func() ([]byte, error) {
		v, document, err := p.peers.Config(ctx, host)
		version = v
		return document, err
	})
	return version, document, err
}

// RelayAppend implements port.Peers.
func (p gatedPeers) RelayAppend(ctx context.Context, host, stream string, records [][]byte) (int64, error) {
	return callThrough(p.gate, peerClosedError(host), func() (int64, error) {
		return p.peers.RelayAppend(ctx, host, stream, records)
	})
}

type gatedPrograms struct {
	programs port.Programs
	gate     *Gate
	host     string
}

// Open implements port.Programs.
func (p gatedPrograms) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	return callThrough(p.gate, peerClosedError(p.host), func() (port.ProgramView, error) { return p.programs.Open(ctx, spec) })
}

// Call implements port.Programs.
func (p gatedPrograms) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	return callThrough(p.gate, peerClosedError(p.host), func() (port.Answer, error) {
		return p.programs.Call(ctx, call, p.gate.gatedSink(sink))
	})
}

// Program implements port.Programs.
func (p gatedPrograms) Program(ctx context.Context, id string) (port.ProgramView, error) {
	return callThrough(p.gate, peerClosedError(p.host), func() (port.ProgramView, error) { return p.programs.Program(ctx, id) })
}

// History implements port.Programs.
func (p gatedPrograms) History(ctx context.Context, id string) ([]port.Turn, error) {
	return callThrough(p.gate, peerClosedError(p.host), func() ([]port.Turn, error) { return p.programs.History(ctx, id) })
}

// Answer implements port.Programs.
func (p gatedPrograms) Answer(ctx context.Context, id string, seq int64) (port.Answer, bool, error) {
	var running bool
	answer, err := callThrough(p.gate, peerClosedError(p.host), func() (port.Answer, error) {
		answer, isRunning, err := p.programs.Answer(ctx, id, seq)
		running = isRunning
		return answer, err
	})
	return answer, running, err
}

// End implements port.Programs.
func (p gatedPrograms) End(ctx context.Context, id string) (port.ProgramView, error) {
	return callThrough(p.gate, peerClosedError(p.host), func() (port.ProgramView, error) { return p.programs.End(ctx, id) })
}
