package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/core/config"
	"yuccausher/internal/entry"
	"yuccausher/internal/membership"
	"yuccausher/internal/owner"
	"yuccausher/internal/port"
)

var serverModule = fx.Module("servers",
	fx.Provide(newServers),
	fx.Invoke(func(*servers) {}),
)

type serverParams struct {
	fx.In

	Lifecycle     fx.Lifecycle
	Options       Options
	Listeners     *listeners
	Members       *membership.Service
	Configuration port.Configuration
	Holder        *config.Holder
	Owner         *owner.Service
	Router        *entry.Router
	Drain         *drain
	Metrics       *metrics.Metrics
	Log           port.Log
	Quarantine    *quarantine
	Scope         tally.Scope
}

// servers answer callers, operators and other hosts.
type servers struct {
	listeners *listeners
	http      *http.Server
	peer      *peer.Server
	log       logr.Logger
	stopPeer  context.CancelFunc
	peerEnded chan struct{}
}

func newServers(p serverParams) (*servers, error) {
	peerServer, err := peer.NewServer(peer.ServerParams{
		Handlers: peer.Handlers{
			Programs: p.Owner,
			Gossip:   &markingGossiper{Service: p.Members, quarantine: p.Quarantine},
			Config:   p.Configuration,
			Log:      p.Log,
		},
		Log:   p.Options.Logger.WithName("peer"),
		Scope: p.Scope,
	})
	if err != nil {
		return nil, err
	}
	s := &servers{
		listeners: p.Listeners,
		http:      newAPI(p).Server(),
		peer:      peerServer,
		log:       p.Options.Logger.WithName("server"),
		peerEnded: make(chan struct{}),
	}
	p.Drain.servers = s
	p.Lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
	return s, nil
}

func newAPI(p serverParams) *httpapi.API {
	set := p.Options.Settings
	limits := httpapi.DefaultLimits()
	limits.MaxBodyBytes = set.MaxBody
	limits.MaxTotalBodyBytes = set.MaxBodyTotal
	limits.MaxRequests = set.MaxRequests
	limits.HeaderTimeout = set.HeaderTimeout
	limits.BodyTimeout = set.BodyTimeout
	limits.WriteTimeout = set.WriteTimeout
	return httpapi.New(httpapi.Params{
		Programs:      p.Router,
		Snapshots:     p.Holder,
		Configuration: p.Configuration,
		Operations:    p.Drain,
		Leaving:       p.Drain.leaving.Load,
		Metrics:       p.Metrics.Handler,
		Limits:        limits,
		Log:           p.Options.Logger.WithName("http"),
		Scope:         p.Scope,
	})
}

func (s *servers) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPeer = cancel
	go func() {
		defer close(s.peerEnded)
		s.report(s.peer.Serve(ctx, s.listeners.peer))
	}()
	go func() { s.report(s.http.Serve(s.listeners.client)) }()
	return nil
}

func (s *servers) report(err error) {
	planned := errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
	if err != nil && !planned {
		s.log.Error(err, "Server ended.")
	}
}

// drain stops taking callers' connections and returns when no request of a
// caller or of another host is in flight.
func (s *servers) drain(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	return s.peer.Wait(ctx)
}

// peerStopTimeout bounds the end of the peer server's connections.
const peerStopTimeout = 5 * time.Second

// stop cuts what is still in flight.
func (s *servers) stop(ctx context.Context) error {
	_ = s.http.Close()
	if s.stopPeer == nil {
		s.listeners.close()
		return nil
	}
	s.stopPeer()
	s.listeners.close()
	select {
	case <-s.peerEnded:
	case <-time.After(peerStopTimeout):
	case <-ctx.Done():
	}
	return nil
}
