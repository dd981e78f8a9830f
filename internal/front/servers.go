package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/fault"
	"yuccausher/internal/follow"
	"yuccausher/internal/gateway"
	"yuccausher/internal/socket"
	"yuccausher/internal/spending"
	"yuccausher/internal/upstream"
)

const (
	// headerTimeout bounds the arrival of a request's header. The operators'
	// limits are lower; it only frees connections that say nothing.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It is above
	// the operators' limits, so that no caller meets a close of ours.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's header before the operators' limit is
	// looked at.
	maxHeaderBytes = 64 << 10
	// maintainInterval is how often idle connections and readiness are looked
	// at.
	maintainInterval = 500 * time.Millisecond
)

// servers answer callers, readiness probes and readers of metrics.
type servers struct {
	options  Options
	gateway  *gateway.Gateway
	follower *follow.Follower
	hosts    *follow.Hosts
	spending *spending.Service
	tables   *route.Holder
	fleet    *fleet.Fleet
	pool     *upstream.Pool
	lending  *budgetrpc.Server
	log      logr.Logger
	// callers is the server for callers, also in list.
	callers *http.Server
	list    []listening
	leaving atomic.Bool
	ready   atomic.Bool
	stop    context.CancelFunc
}

type listening struct {
	http    *http.Server
	address string
}

type serverParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Options   Options
	Gateway   *gateway.Gateway
	Follower  *follow.Follower
	Hosts     *follow.Hosts
	Spending  *spending.Service
	Tables    *route.Holder
	Fleet     *fleet.Fleet
	Pool      *upstream.Pool
	Lending   *budgetrpc.Server
	Metrics   *metrics.Metrics
}

func newServers(p serverParams) *servers {
	s := &servers{
		options:  p.Options,
		gateway:  p.Gateway,
		follower: p.Follower,
		hosts:    p.Hosts,
		spending: p.Spending,
		tables:   p.Tables,
		fleet:    p.Fleet,
		pool:     p.Pool,
		lending:  p.Lending,
		log:      p.Options.Logger.WithName("front"),
	}
	probes := http.NewServeMux()
	probes.HandleFunc(p.Options.Platform.ReadyPath, s.answerReady)
	s.callers = s.add(p.Options.CallerAddress, p.Gateway)
	s.add(p.Options.ReadyAddress, probes)
	if p.Options.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", p.Metrics.Handler)
		s.add(p.Options.MetricsAddress, mux)
	}
	p.Lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.close})
	return s
}

func (s *servers) add(address string, h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.list = append(s.list, listening{address: address, http: server})
	return server
}

func (s *servers) start(ctx context.Context) error {
	config := net.ListenConfig{Control: socket.DetectDeadPeer}
	for _, v := range s.list {
		l, err := config.Listen(ctx, "tcp", v.address)
		if err != nil {
			return errors.Annotatef(err, "listen at %s", v.address)
		}
		go func() {
			if err := v.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				s.log.Error(err, "A server has ended.", "address", v.address)
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
		if err := s.lending.Serve(run, l); err != nil && run.Err() == nil {
			s.log.Error(err, "The server for other hosts has ended.", "address", s.options.PeerAddress)
		}
	}()
	go s.maintain(run)
	return nil
}

func (s *servers) close(context.Context) error {
	s.stop()
	for _, v := range s.list {
		if err := v.http.Close(); err != nil {
			s.log.Info("A server did not close.", "address", v.address, "cause", err.Error())
		}
	}
	return nil
}

func (s *servers) answerReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if s.updateReady() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

// updateReady says whether the host can serve callers, and logs changes.
func (s *servers) updateReady() bool {
	reason := s.unready()
	ready := reason == ""
	if s.ready.Swap(ready) != ready {
		s.log.Info("Readiness changed.", "ready", ready, "reason", reason)
	}
	// Callers on open connections move to other hosts with their next request.
	s.gateway.SetCloseConnections(!ready)
	return ready
}

// unready returns why the host can't serve callers; empty if it can.
func (s *servers) unready() string {
	switch {
	case s.leaving.Load():
		return "leaving"
	case s.tables.Current() == nil:
		return "no configuration"
	case s.follower.TargetsReadAt().IsZero():
		return "targets not read"
	case !s.hosts.IsKnown():
		return "hosts not read"
	case s.spending.IsIsolated():
		return "neither store nor hosts reached"
	}
	return ""
}

// maintain looks after idle connections.
func (s *servers) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.pool.Sweep(now, s.isTarget())
		}
	}
}

// isTarget returns a function that says whether a run of a target still takes
// requests.
func (s *servers) isTarget() func(upstream.Target) bool {
	alive := make(map[upstream.Target]bool)
	for _, m := range s.fleet.Members() {
		if !m.Leaving {
			alive[upstream.Target{ID: m.ID, Address: m.Address, StartedAt: m.StartedAt}] = true
		}
	}
	return func(t upstream.Target) bool { return alive[t] }
}

const (
	// rotationTime is how long the platform may still send new connections to
	// a host that says it is not ready: two probes a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopReserve is the part of the stop time that is kept for the end of the
	// process.
	stopReserve = 700 * time.Millisecond
)

// drain takes the host out of rotation, answers what comes meanwhile, and
// returns when nothing is in flight any more or the stop time has nearly
// passed.
func (s *servers) drain(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.options.StopTime-stopReserve)
	defer cancel()
	s.leaving.Store(true)
	s.spending.StopLending()
	s.updateReady()
	timer := time.NewTimer(rotationTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// Shutdown takes no more connections, closes those that carry no request
	// and waits for the others.
	err := s.callers.Shutdown(ctx)
	s.log.Info("Drained.", "took", time.Since(started).String(), "in_flight", s.gateway.InFlight(), "cause", fault.Text(err))
}
