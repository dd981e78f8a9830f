package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/connlimit"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/fault"
	"yuccausher/internal/gateway"
	"yuccausher/internal/socket"
	"yuccausher/internal/spending"
	"yuccausher/internal/upstream"
)

const (
	// headerTimeout limits the time to receive a request's header. The operators'
	// limits are lower; this one only closes connections that send nothing.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It is above the
	// operators' limits, so that no caller sends a request while the host closes the
	// connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits a request's header before the operators' limit is checked.
	maxHeaderBytes = 64 << 10
	// bodyTimeout limits the time to receive a request of a caller before its route's timeout is
	// known. It is the timeout of routes without one.
	bodyTimeout = 30 * time.Second
	// probeTimeout limits the time to receive a probe and to write its answer.
	probeTimeout = 10 * time.Second
	// sweepInterval is how often idle connections are swept.
	sweepInterval = 500 * time.Millisecond
)

// servers holds the servers for callers, readiness probes, metrics and other hosts.
type servers struct {
	options    Options
	gateway    *gateway.Gateway
	readiness  *readiness
	spending   *spending.Service
	fleet      *fleet.Fleet
	pool       *upstream.Pool
	peerServer *budgetrpc.Server
	scope      tally.Scope
	log        logr.Logger
	// callers is the server for callers. It is also in httpServers.
	callers *http.Server
	// callerListener accepts the connections of callers.
	callerListener net.Listener
	httpServers    []httpServer
	peerLimits     connlimit.Limits
	ready          atomic.Bool
	stop           context.CancelFunc
}

// httpServer is a server, with the name of its port and the limits of its connections.
type httpServer struct {
	server  *http.Server
	port    string
	address string
	limits  connlimit.Limits
	// refusal is written to connections that are refused.
	refusal []byte
}

type serverParams struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Options    Options
	Gateway    *gateway.Gateway
	Readiness  *readiness
	Spending   *spending.Service
	Fleet      *fleet.Fleet
	Pool       *upstream.Pool
	PeerServer *budgetrpc.Server
	Metrics    *metrics.Metrics
	Scope      tally.Scope
}

func newServers(p serverParams) *servers {
	s := &servers{
		options:    p.Options,
		gateway:    p.Gateway,
		readiness:  p.Readiness,
		spending:   p.Spending,
		fleet:      p.Fleet,
		pool:       p.Pool,
		peerServer: p.PeerServer,
		scope:      p.Scope,
		log:        p.Options.Logger.WithName("front"),
	}
	probes := http.NewServeMux()
	probes.HandleFunc(p.Options.Platform.ReadyPath, s.handleReady)
	budget := connlimit.NewBudget(p.Options.MemoryBytes, p.Options.MaxDescriptors)
	s.peerLimits = budget.Peers
	s.callers = s.add(httpServer{port: "callers", address: p.Options.CallerAddress, limits: budget.Callers, refusal: refusedConnection}, p.Gateway)
	s.callers.ReadTimeout = bodyTimeout
	s.addProbes(httpServer{port: "ready", address: p.Options.ReadyAddress, limits: budget.Probes}, probes)
	if p.Options.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", p.Metrics.Handler)
		s.addProbes(httpServer{port: "metrics", address: p.Options.MetricsAddress, limits: budget.Probes}, mux)
	}
	p.Lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.close})
	return s
}

// refusedConnection is sent on connections that are closed at once because all others are in use.
// Nothing of a request has been read, so that it has not run.
var refusedConnection = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")

// addProbes adds a server for requests that are short and have no body.
func (s *servers) addProbes(v httpServer, h http.Handler) {
	server := s.add(v, h)
	server.ReadTimeout, server.WriteTimeout = probeTimeout, probeTimeout
}

func (s *servers) add(v httpServer, h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	connlimit.Configure(server)
	v.server = server
	s.httpServers = append(s.httpServers, v)
	return server
}

func (s *servers) start(ctx context.Context) error {
	config := socket.ListenConfig()
	for _, v := range s.httpServers {
		l, err := config.Listen(ctx, "tcp", v.address)
		if err != nil {
			return errors.Annotatef(err, "listen at %s", v.address)
		}
		if v.server == s.callers {
			s.callerListener = l
		}
		limited := s.limit(l, v.port, v.limits, v.refusal)
		go func() {
			err := v.server.Serve(limited)
			isClosed := errors.Is(err, http.ErrServerClosed) || v.server == s.callers && s.readiness.leaving.Load()
			if !isClosed {
				s.log.Error(err, "HTTP server failed.", "address", v.address)
			}
		}()
	}
	run, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	l, err := config.Listen(ctx, "tcp", s.options.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "listen at %s", s.options.PeerAddress)
	}
	go func() {
		if err := s.peerServer.Serve(run, s.limit(l, "peers", s.peerLimits, nil).Framed()); err != nil && run.Err() == nil {
			s.log.Error(err, "Server for other hosts failed.", "address", s.options.PeerAddress)
		}
	}()
	go s.sweepIdleConnections(run)
	return nil
}

// limit returns l with limits on its connections.
func (s *servers) limit(l net.Listener, port string, limits connlimit.Limits, refusal []byte) *connlimit.Listener {
	return connlimit.Listen(l, connlimit.Options{Port: port, Limits: limits, Refusal: refusal, Logger: s.log, Scope: s.scope})
}

func (s *servers) close(context.Context) error {
	s.stop()
	for _, v := range s.httpServers {
		if err := v.server.Close(); err != nil {
			s.log.Info("Failed to close HTTP server.", "address", v.address, "cause", err.Error())
		}
	}
	return nil
}

func (s *servers) handleReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if s.updateReady() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// updateReady reports whether the host can serve callers, and logs changes.
func (s *servers) updateReady() bool {
	reason := s.readiness.notReadyReason()
	ready := reason == ""
	if s.ready.Swap(ready) != ready {
		s.log.Info("Readiness changed.", "ready", ready, "reason", reason)
	}
	// While the host is not ready, callers on open connections move to other hosts
	// after their next request.
	s.gateway.SetCloseConnections(!ready)
	return ready
}

// sweepIdleConnections closes expired idle connections and those to targets that take
// no more requests, every sweepInterval until ctx ends.
func (s *servers) sweepIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.pool.Sweep(now, s.acceptingTargets())
		}
	}
}

// acceptingTargets returns a function that reports whether a run of a target still
// accepts requests.
func (s *servers) acceptingTargets() func(upstream.Target) bool {
	accepting := make(map[upstream.Target]bool)
	for _, m := range s.fleet.Members() {
		if !m.Leaving {
			accepting[upstream.Target{ID: m.ID, Address: m.Address, StartedAt: m.StartedAt}] = true
		}
	}
	return func(t upstream.Target) bool { return accepting[t] }
}

const (
	// rotationDelay is how long the platform may continue to send new connections to a
	// host that reports that it is not ready: two probes a second apart.
	rotationDelay = 2500 * time.Millisecond
	// stopReserve is the part of StopTime reserved for what follows the drain.
	stopReserve = 700 * time.Millisecond
	// answerReserve is the last part of the drain, in which the requests that are still in
	// progress get their final answers.
	answerReserve = 200 * time.Millisecond
	// settleTime is how long no request must have been in progress at the end of the drain: those
	// that are on their way on open connections are still served.
	settleTime = 100 * time.Millisecond
	// writeTime is how long the last answers may take to be written.
	writeTime = 200 * time.Millisecond
	// inFlightPoll is how often the drain looks whether all requests have ended.
	inFlightPoll = 20 * time.Millisecond
)

// closeCallerListener stops accepting connections of callers. Those that are open go on.
func (s *servers) closeCallerListener() {
	if err := s.callerListener.Close(); err != nil {
		s.log.Info("Failed to close the listener for callers.", "cause", err.Error())
	}
}

// awaitRequests returns when no request has been in progress for a time, or when ctx ends.
func (s *servers) awaitRequests(ctx context.Context, quiet time.Duration) {
	for quietSince := time.Now(); ctx.Err() == nil; time.Sleep(inFlightPoll) {
		if s.gateway.InFlight() > 0 {
			quietSince = time.Now()
			continue
		}
		if time.Since(quietSince) >= quiet {
			return
		}
	}
}

// closeCallers closes the connections of callers once their answers are written. It does not wait
// for those on which nothing has come yet.
func (s *servers) closeCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		return s.callers.Close()
	}
	return nil
}

// drain reports that the host is not ready, continues to answer requests, and returns
// when none is in progress or StopTime less stopReserve has passed.
func (s *servers) drain(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.options.StopTime-stopReserve)
	defer cancel()
	s.readiness.leaving.Store(true)
	s.spending.StopLending()
	s.updateReady()
	s.gateway.StopAt(started.Add(rotationDelay), started.Add(s.options.StopTime-stopReserve-answerReserve))
	timer := time.NewTimer(rotationDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.closeCallerListener()
	s.awaitRequests(ctx, settleTime)
	// A request that comes from now on is refused, so that none is passed on and then cut.
	s.gateway.RefuseFurther()
	s.awaitRequests(ctx, 0)
	err := s.closeCallers(ctx)
	s.log.Info("Drain ended.", "took", time.Since(started).String(), "in_flight", s.gateway.InFlight(), "cause", fault.Text(err))
}
