package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// The bounds of a server.
const (
	maxConnections = 8192
	drainPoll      = 10 * time.Millisecond
)

// Gossiper answers the heartbeats of other hosts.
type Gossiper interface {
	// Receive takes a heartbeat and returns this host's own.
	Receive(ctx context.Context, g port.Gossip) (port.Gossip, error)
	// Reach says whether this host reaches another one.
	Reach(ctx context.Context, host string) (bool, error)
}

// Handlers are what a server offers. A nil one is answered as not offered.
type Handlers struct {
	// Programs serves the programs that this host owns.
	Programs port.Programs
	Gossip   Gossiper
	Config   port.Configuration
	// Log takes appends that are relayed for other hosts.
	Log port.Log
}

// ServerParams are what a Server needs. Scope may be nil.
type ServerParams struct {
	Handlers Handlers
	Log      logr.Logger
	Scope    tally.Scope
}

// Server answers the calls of other hosts.
type Server struct {
	drpc        *drpcserver.Server
	log         logr.Logger
	metrics     *serverMetrics
	connections atomic.Int64
	calls       atomic.Int64
}

// NewServer returns a server that listens nowhere yet.
func NewServer(p ServerParams) (*Server, error) {
	s := &Server{log: p.Log, metrics: newServerMetrics(p.Scope)}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, &handler{Handlers: p.Handlers, metrics: s.metrics}); err != nil {
		return nil, err
	}
	options := drpcserver.Options{Manager: serverOptions(), Log: s.connectionEnded}
	s.drpc = drpcserver.NewWithOptions(&countingHandler{Handler: mux, server: s}, options)
	return s, nil
}

func serverOptions() drpcmanager.Options {
	o := managerOptions()
	o.InactivityTimeout = 2 * idleTimeout
	return o
}

// Serve accepts connections until ctx ends, then cancels what still runs.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, &limitedListener{Listener: l, server: s})
}

// Wait returns when no call runs, or with the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	for s.calls.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Calls returns how many calls run now.
func (s *Server) InFlight() int64 { return s.calls.Load() }

func (s *Server) connectionEnded(err error) {
	if !isGarbage(err) {
		return
	}
	s.metrics.garbage.Inc(1)
	s.log.Info("Peer broke the protocol. Connection dropped.", "cause", err.Error())
}

// countingHandler counts the calls that run.
type countingHandler struct {
	drpc.Handler
	server *Server
}

// HandleRPC implements drpc.Handler.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	h.server.metrics.calls.Update(float64(h.server.calls.Add(1)))
	defer func() { h.server.metrics.calls.Update(float64(h.server.calls.Add(-1))) }()
	return h.Handler.HandleRPC(stream, rpc)
}

// limitedListener closes connections above the bound at once.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.connections.Add(1) <= maxConnections {
			return &serverConn{countedConn: countedConn{Conn: c}, server: l.server}, nil
		}
		l.server.connections.Add(-1)
		l.server.metrics.refused.Inc(1)
		_ = c.Close()
	}
}

type serverConn struct {
	countedConn
	server *Server
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.server.connections.Add(-1)
	}
	return c.Conn.Close()
}
