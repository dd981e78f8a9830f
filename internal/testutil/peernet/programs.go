package peernet

import (
	"context"

	"yuccausher/internal/port"
)

// programs calls the programs of another host. A call in flight is cancelled
// when the host is removed.
type programs struct {
	peers *peers
	host  string
}

// forward runs one call at the other host.
func forward[T any](ctx context.Context, p *programs, run func(context.Context, port.Programs) (T, error)) (T, error) {
	var result T
	var failed error
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := p.peers.call(ctx, p.host, func(h Handlers) error {
		stop := context.AfterFunc(p.peers.net.removedContext(p.host), cancel)
		defer stop()
		result, failed = run(ctx, h.Programs)
		return nil
	})
	if err != nil {
		return result, asPeerError(p.host, err)
	}
	return result, failed
}

// asPeerError returns err as a *port.PeerError, with Sent set if it is not one.
func asPeerError(host string, err error) error {
	if failed, ok := err.(*port.PeerError); ok {
		return failed
	}
	return &port.PeerError{Host: host, Sent: true, Cause: err}
}

// Open implements port.Programs.
func (p *programs) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	return forward(ctx, p, func(ctx context.Context, at port.Programs) (port.ProgramView, error) {
		return at.Open(ctx, spec)
	})
}

// Call implements port.Programs.
func (p *programs) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	return forward(ctx, p, func(ctx context.Context, at port.Programs) (port.Answer, error) {
		return at.Call(ctx, call, sink)
	})
}

// Program implements port.Programs.
func (p *programs) Program(ctx context.Context, id string) (port.ProgramView, error) {
	return forward(ctx, p, func(ctx context.Context, at port.Programs) (port.ProgramView, error) {
		return at.Program(ctx, id)
	})
}

// History implements port.Programs.
func (p *programs) History(ctx context.Context, id string) ([]port.Turn, error) {
	return forward(ctx, p, func(ctx context.Context, at port.Programs) ([]port.Turn, error) {
		return at.History(ctx, id)
	})
}

// Answer implements port.Programs.
func (p *programs) Answer(ctx context.Context, id string, seq int64) (port.Answer, bool, error) {
	type found struct {
		answer  port.Answer
		running bool
	}
	f, err := forward(ctx, p, func(ctx context.Context, at port.Programs) (f found, err error) {
		f.answer, f.running, err = at.Answer(ctx, id, seq)
		return f, err
	})
	return f.answer, f.running, err
}

// End implements port.Programs.
func (p *programs) End(ctx context.Context, id string) (port.ProgramView, error) {
	return forward(ctx, p, func(ctx context.Context, at port.Programs) (port.ProgramView, error) {
		return at.End(ctx, id)
	})
}
