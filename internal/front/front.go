// Package front puts the parts of a host on the users' platform together as
// fx modules: it follows the platform's store, keeps budgets and forwards
// callers' requests to targets.
package front

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/follow"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/spending"
	"yuccausher/internal/upstream"
)

// Platform is what a host meets on the outside.
type Platform struct {
	Log                 port.SharedLog
	Configuration       port.KeyedStream
	ConfigurationKey    string
	DecodeConfiguration func([]byte) (route.Document, error)
	Targets             port.KeyedStream
	DecodeTarget        func(id string, value []byte) (fleet.Member, error)
	// Hosts holds the hosts' own records, which PutHost writes.
	Hosts    port.KeyedStream
	PutHost  func(ctx context.Context, key string, value []byte) error
	Protocol gateway.Protocol
	// ReadyPath is where the platform asks whether the host takes callers.
	ReadyPath string
}

// Options are what a host is built from.
type Options struct {
	// CallerAddress takes callers, ReadyAddress readiness probes, both as
	// IP:PORT. MetricsAddress serves metrics; empty means none.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// PeerAddress takes other hosts, which find it under HostName.
	PeerAddress string
	HostName    string
	DataCentre  string
	// DrainTime is how soon a leaving target must get no more requests.
	DrainTime time.Duration
	// StopTime is the time between SIGTERM and SIGKILL.
	StopTime time.Duration
	// Partitions is how many partitions of the shared log carry the claims on
	// budgets.
	Partitions int
	// Retention is how long the shared log keeps records without a key.
	Retention time.Duration
	// Seed decides between targets that look alike.
	Seed     uint64
	Platform Platform
	Logger   logr.Logger
}

// Front is one host.
type Front struct {
	fx      *fx.App
	servers *servers
	options Options
	log     logr.Logger
}

const (
	// startTimeout bounds the start of all parts, which wait for nobody.
	startTimeout = 10 * time.Second
	// stopTimeout bounds the stop of all parts after the drain.
	stopTimeout = 500 * time.Millisecond
)

// New puts the parts of a host together.
func New(o Options) (*Front, error) {
	f := &Front{options: o, log: o.Logger.WithName("front")}
	f.fx = fx.New(
		fx.Supply(o),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(newMetrics, newScope, newFleet, newFollower, newHosts, newLenders, newSpending, newLending, newPool, newQuarantine, newGateway, newServers),
		fx.Provide(func() *route.Holder { return &route.Holder{} }),
		fx.Populate(&f.servers),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
	)
	if err := f.fx.Err(); err != nil {
		return nil, &AssemblyError{Cause: err}
	}
	return f, nil
}

// AssemblyError says that the parts of a host don't fit together.
type AssemblyError struct{ Cause error }

// Error implements error.
func (e *AssemblyError) Error() string { return "host can't be put together: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AssemblyError) Unwrap() error { return e.Cause }

// Start starts all parts.
func (f *Front) Start(ctx context.Context) error { return f.fx.Start(ctx) }

// Stop makes a planned stop: the host leaves the rotation, answers what comes
// meanwhile and returns when nothing is in flight any more or the stop time
// has nearly passed.
func (f *Front) Stop(ctx context.Context) error {
	f.servers.drain(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return f.fx.Stop(ctx)
}

func newMetrics(lc fx.Lifecycle, o Options) *metrics.Metrics {
	m := metrics.New(func(err error) { o.Logger.WithName("metrics").Error(err, "A metric can't be registered.") })
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return m.Close() }})
	return m
}

func newScope(m *metrics.Metrics) tally.Scope { return m.Scope }

func newFleet(o Options) *fleet.Fleet { return fleet.New(o.DataCentre, o.Seed) }

func newFollower(lc fx.Lifecycle, o Options, tables *route.Holder, targets *fleet.Fleet, scope tally.Scope) *follow.Follower {
	f := follow.New(follow.Params{
		Configuration:       o.Platform.Configuration,
		ConfigurationKey:    o.Platform.ConfigurationKey,
		DecodeConfiguration: o.Platform.DecodeConfiguration,
		Targets:             o.Platform.Targets,
		DecodeTarget:        o.Platform.DecodeTarget,
		DrainTime:           o.DrainTime,
		Tables:              tables,
		Fleet:               targets,
		Logger:              o.Logger,
		Scope:               scope,
	})
	lc.Append(fx.Hook{OnStart: f.Start, OnStop: f.Stop})
	return f
}

func newHosts(lc fx.Lifecycle, o Options, crashes *quarantine.Service) *follow.Hosts {
	h := follow.NewHosts(follow.HostsParams{
		Name:       o.HostName,
		Address:    o.PeerAddress,
		DataCentre: o.DataCentre,
		Stream:     o.Platform.Hosts,
		Put:        o.Platform.PutHost,
		Crashes:    crashes,
		Logger:     o.Logger,
	})
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
	return h
}

func newLenders(lc fx.Lifecycle, h *follow.Hosts) port.Lenders {
	c := budgetrpc.NewClient(h)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
	return c
}

func newLending(s *spending.Service, o Options) (*budgetrpc.Server, error) {
	return budgetrpc.NewServer(s, o.Logger.WithName("lending"))
}

func newSpending(lc fx.Lifecycle, o Options, lenders port.Lenders, scope tally.Scope) *spending.Service {
	s := spending.New(spending.Params{
		Log:        o.Platform.Log,
		Partitions: o.Partitions,
		Lenders:    lenders,
		Retention:  o.Retention,
		Logger:     o.Logger,
		Scope:      scope,
	})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

func newPool(lc fx.Lifecycle, scope tally.Scope) *upstream.Pool {
	p := upstream.NewPool(scope)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { p.Close(); return nil }})
	return p
}

func newQuarantine(lc fx.Lifecycle, o Options, pool *upstream.Pool, scope tally.Scope) *quarantine.Service {
	q := quarantine.New(quarantine.Params{Probe: pool.Probe, Logger: o.Logger, Scope: scope})
	lc.Append(fx.Hook{OnStop: q.Stop})
	return q
}

type gatewayParams struct {
	fx.In

	Options    Options
	Follower   *follow.Follower
	Tables     *route.Holder
	Fleet      *fleet.Fleet
	Pool       *upstream.Pool
	Spending   *spending.Service
	Quarantine *quarantine.Service
	Scope      tally.Scope
}

func newGateway(p gatewayParams) *gateway.Gateway {
	return gateway.New(gateway.Params{
		Protocol:      p.Options.Platform.Protocol,
		Tables:        p.Tables,
		Fleet:         p.Fleet,
		Pool:          p.Pool,
		Budgets:       p.Spending,
		Quarantine:    p.Quarantine,
		TargetsReadAt: p.Follower.TargetsReadAt,
		Log:           p.Options.Logger,
		Scope:         p.Scope,
	})
}
