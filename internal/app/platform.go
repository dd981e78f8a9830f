package app

import (
	"context"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/adapter/engine"
	"yuccausher/internal/adapter/hostlist"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/adapter/platformlog"
	"yuccausher/internal/adapter/service"
	"yuccausher/internal/port"
)

var metricsModule = fx.Module("metrics",
	fx.Provide(newMetrics),
	fx.Provide(func(m *metrics.Metrics) tally.Scope { return m.Scope }),
)

func newMetrics(lc fx.Lifecycle, o Options) *metrics.Metrics {
	log := o.Logger.WithName("metrics")
	m := metrics.New(func(err error) { log.Error(err, "Metric could not be registered.") })
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return m.Close() }})
	return m
}

var platformModule = fx.Module("platform",
	fx.Provide(newLog, newEngine, newService, newHostList),
)

// closeOnStop closes the idle connections of a client when the host stops.
func closeOnStop(lc fx.Lifecycle, closeIdle func()) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		closeIdle()
		return nil
	}})
}

func newLog(lc fx.Lifecycle, o Options, scope tally.Scope) port.Log {
	log := o.Platform.Log
	if log == nil {
		client := platformlog.New(o.Settings.LogURL)
		closeOnStop(lc, client.Close)
		log = client
	}
	if o.Gate != nil {
		log = o.Gate.Log(log)
	}
	return metrics.InstrumentLog(log, scope)
}

func newEngine(lc fx.Lifecycle, o Options) port.Engine {
	e := o.Platform.Engine
	if e == nil {
		client := engine.New()
		closeOnStop(lc, client.Close)
		e = client
	}
	if o.Gate != nil {
		e = o.Gate.Engine(e)
	}
	return e
}

func newService(lc fx.Lifecycle, o Options) port.Service {
	s := o.Platform.Service
	if s == nil {
		client := service.New()
		closeOnStop(lc, client.Close)
		s = client
	}
	if o.Gate != nil {
		s = o.Gate.Service(s)
	}
	return s
}

func newHostList(lc fx.Lifecycle, o Options) port.HostList {
	l := o.Platform.HostList
	if l == nil {
		client := hostlist.New(o.Settings.HostListURL)
		closeOnStop(lc, client.Close)
		l = client
	}
	if o.Gate != nil {
		l = o.Gate.HostList(l)
	}
	return l
}

var peerClientModule = fx.Module("peer_client", fx.Provide(newPeers))

func newPeers(lc fx.Lifecycle, o Options, scope tally.Scope) port.Peers {
	client := peer.NewClient(peer.ClientParams{Scope: scope})
	closeOnStop(lc, client.Close)
	if o.Gate != nil {
		return o.Gate.Peers(client)
	}
	return client
}
