package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// anyPort makes the system choose a free port.
const anyPort = "127.0.0.1:0"

// relistenEvery is the pause between two attempts to take a port again.
const relistenEvery = 50 * time.Millisecond

// Listening is a platform that is served over HTTP. Each target has a port of
// its own, which is closed while the target is down.
type Listening struct {
	// Base is the URL of the platform and its control.
	Base string

	stop context.CancelFunc
	done sync.WaitGroup
}

// crasher is a target that can crash.
type crasher interface {
	// Crashed returns a channel that is closed at the next crash.
	Crashed() <-chan struct{}
	// RestartTime is how long a crash keeps the target down.
	RestartTime() time.Duration
}

// Listen serves a platform at an address, "ip:port", and publishes its first
// configuration.
func Listen(ctx context.Context, p Platform, address string, log logr.Logger) (*Listening, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	l := &Listening{Base: baseOf(listener.Addr()), stop: stop}
	handler := NewServer(p, log).Handler()
	l.done.Go(func() { serveUntil(serving, listener, handler, nil) })
	bases, err := l.listenTargets(serving, p.Fleet, handler)
	if err == nil {
		err = p.Publish(ctx, bases)
	}
	if err != nil {
		l.Close()
		return nil, errors.Annotate(err, "start the stand-ins")
	}
	return l, nil
}

// Close ends the servers, breaks their connections and waits for them.
func (l *Listening) Close() {
	l.stop()
	l.done.Wait()
}

// listenTargets serves each target at a port of its own.
func (l *Listening) listenTargets(ctx context.Context, f *Fleet, handler http.Handler) (Bases, error) {
	bases := make(Bases)
	for name, target := range f.crashers() {
		listener, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, errors.Annotate(err, "listen for target")
		}
		bases[name] = baseOf(listener.Addr())
		l.done.Go(func() { serveTarget(ctx, listener, handler, target) })
	}
	return bases, nil
}

func (f *Fleet) crashers() map[string]crasher {
	targets := make(map[string]crasher, len(f.engines)+len(f.services))
	for name, e := range f.engines {
		targets[name] = e
	}
	for name, s := range f.services {
		targets[name] = s
	}
	return targets
}

func baseOf(address net.Addr) string { return "http://" + address.String() }

// serveTarget serves a target, but for the times when it is down.
func serveTarget(ctx context.Context, listener net.Listener, handler http.Handler, target crasher) {
	address := listener.Addr().String()
	for {
		serveUntil(ctx, listener, handler, target.Crashed())
		if sleep(ctx, target.RestartTime()) != nil {
			return
		}
		if listener = relisten(ctx, address); listener == nil {
			return
		}
	}
}

// relisten takes an address again; it returns nil if the context ends first.
func relisten(ctx context.Context, address string) net.Listener {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		if sleep(ctx, relistenEvery) != nil {
			return nil
		}
	}
}

// serveUntil serves until the context ends or crashed is closed, and then
// breaks all connections.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler, crashed <-chan struct{}) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout}
	var serving sync.WaitGroup
	// Serve returns when Close has closed the listener.
	serving.Go(func() { _ = server.Serve(listener) })
	select {
	case <-ctx.Done():
	case <-crashed:
	}
	server.Close()
	serving.Wait()
}
