// Package front assembles a host for the users' platform with fx. Such a host follows
// the platform's store, enforces the budgets of programs and forwards requests of
// callers to targets.
package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"storj.io/drpc"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/adapter/conversationrpc"
	"yuccausher/internal/adapter/crashrpc"
	"yuccausher/internal/adapter/handoverrpc"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/adapter/occupancyrpc"
	"yuccausher/internal/adapter/quotarpc"
	"yuccausher/internal/conversation"
	"yuccausher/internal/core/fleet"
	corequota "yuccausher/internal/core/quota"
	corereach "yuccausher/internal/core/reach"
	"yuccausher/internal/core/route"
	"yuccausher/internal/follow"
	"yuccausher/internal/gateway"
	"yuccausher/internal/handover"
	"yuccausher/internal/occupancy"
	"yuccausher/internal/origin"
	"yuccausher/internal/port"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/quota"
	"yuccausher/internal/reach"
	"yuccausher/internal/spending"
	"yuccausher/internal/storecall"
	"yuccausher/internal/upstream"
)

// Platform holds the platform's interfaces that a host uses.
type Platform struct {
	Log port.SharedLog
	// Calls limits the calls to Log and to the streams below; nil if they are not limited.
	Calls               *storecall.Log
	Configuration       port.KeyedStream
	ConfigurationKey    string
	DecodeConfiguration func([]byte) (route.Document, error)
	Targets             port.KeyedStream
	DecodeTarget        func(id string, value []byte) (fleet.Member, error)
	// Hosts holds the hosts' own records, which PutHost writes.
	Hosts   port.KeyedStream
	PutHost func(ctx context.Context, key string, value []byte) error
	// Crashes holds the crashes of targets, which PutCrashes writes.
	Crashes    port.KeyedStream
	PutCrashes func(ctx context.Context, records []port.KeyedRecord) error
	// Releases holds the software versions of the targets, which PutRelease writes.
	Releases   port.KeyedStream
	PutRelease func(ctx context.Context, key string, value []byte) error
	// WritesPerSecond is how many calls that write the log accepts from all hosts; zero if
	// unknown.
	WritesPerSecond float64
	Protocol        gateway.Protocol
	// ReadyPath is the path of the platform's readiness probes.
	ReadyPath string
}

// Options configure a host.
type Options struct {
	// CallerAddress accepts callers and ReadyAddress readiness probes, both as
	// IP:PORT. MetricsAddress serves metrics; if empty, metrics are not served.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	// PeerAddress accepts other hosts, which look it up by HostName.
	PeerAddress string
	HostName    string
	DataCentre  string
	// DrainTime is the time after which a leaving target must get no more requests.
	DrainTime time.Duration
	// StableWindow is the time after a disturbance within which a host must have learned
	// what the other hosts know.
	StableWindow time.Duration
	// StopTime is the time between SIGTERM and SIGKILL.
	StopTime time.Duration
	// Partitions is the number of partitions of the shared log that hold the claims on
	// budgets.
	Partitions int
	// Retention is how long the shared log keeps records without a key.
	Retention time.Duration
	// RecordBytes and CallBytes limit one record of the shared log and all records of
	// one append.
	RecordBytes, CallBytes int
	// MemoryBytes is the host's memory; zero if unknown.
	MemoryBytes int64
	// MaxDescriptors is how many descriptors the host may have open; zero if unknown.
	MaxDescriptors int
	// QuotaTolerance is by how much limits of organisations may be exceeded; none is judged if its
	// window is zero.
	QuotaTolerance corequota.Tolerance
	// Seed determines the choice between equivalent targets.
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
	// startTimeout limits the start of all components. None of them waits for another
	// process.
	startTimeout = 10 * time.Second
	// stopTimeout limits the stop of all components after the drain.
	stopTimeout = 500 * time.Millisecond
)

// New assembles a host without starting it. Its error is an *AssemblyError.
func New(o Options) (*Front, error) {
	f := &Front{options: o, log: o.Logger.WithName("front")}
	f.fx = fx.New(
		fx.Supply(o),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(newMetrics, newScope, newFleet, newFollower, newHosts, newCrashLog, newPeers, newLog, newSpending, newConversations, newOccupancy, newQuotas, newOrigins, newReach, newHandoverPeers, newHandover, newHandoverServer, newReadiness, newPeerServer, newPool, newQuarantine, newGateway, newServers),
		fx.Provide(func() *route.Holder { return &route.Holder{} }),
		fx.Populate(&f.servers),
		fx.Invoke(func(*follow.CrashLog) {}),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
	)
	if err := f.fx.Err(); err != nil {
		return nil, &AssemblyError{Cause: err}
	}
	return f, nil
}

// AssemblyError reports that a host could not be assembled from its components.
type AssemblyError struct{ Cause error }

// Error implements error.
func (e *AssemblyError) Error() string { return "assemble host: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AssemblyError) Unwrap() error { return e.Cause }

// Start starts all components.
func (f *Front) Start(ctx context.Context) error { return f.fx.Start(ctx) }

// Stop performs a planned stop. The host reports that it is not ready and continues to
// answer requests until none is in progress or most of StopTime has passed. Stop then
// stops all components.
func (f *Front) Stop(ctx context.Context) error {
	f.servers.drain(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return f.fx.Stop(ctx)
}

func newMetrics(lc fx.Lifecycle, o Options) *metrics.Metrics {
	m := metrics.New(func(err error) { o.Logger.WithName("metrics").Error(err, "Failed to register metric.") })
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return m.Close() }})
	return m
}

func newScope(m *metrics.Metrics) tally.Scope { return m.Scope }

func newFleet(o Options) *fleet.Fleet { return fleet.New(o.DataCentre, o.Seed) }

func newFollower(lc fx.Lifecycle, o Options, tables *route.Holder, targets *fleet.Fleet, crashes *quarantine.Service, scope tally.Scope) *follow.Follower {
	f := follow.New(follow.Params{
		Configuration:       o.Platform.Configuration,
		ConfigurationKey:    o.Platform.ConfigurationKey,
		DecodeConfiguration: o.Platform.DecodeConfiguration,
		Targets:             o.Platform.Targets,
		DecodeTarget:        o.Platform.DecodeTarget,
		DrainTime:           o.DrainTime,
		Tables:              tables,
		Fleet:               targets,
		OnStarted: func(m fleet.Member) {
			crashes.Started(upstream.Target{ID: m.ID, Address: m.Address, StartedAt: m.StartedAt})
		},
		Logger: o.Logger,
		Scope:  scope,
	})
	lc.Append(fx.Hook{OnStart: f.Start, OnStop: f.Stop})
	return f
}

func newHosts(lc fx.Lifecycle, o Options) *follow.Hosts {
	h := follow.NewHosts(follow.HostsParams{
		Name:       o.HostName,
		Address:    o.PeerAddress,
		DataCentre: o.DataCentre,
		Stream:     o.Platform.Hosts,
		Put:        o.Platform.PutHost,
		Logger:     o.Logger,
	})
	if o.Platform.Calls != nil {
		o.Platform.Calls.SetHosts(h.Count)
	}
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
	return h
}

func newCrashLog(lc fx.Lifecycle, o Options, peers *budgetrpc.Client, crashes *quarantine.Service) *follow.CrashLog {
	c := follow.NewCrashLog(follow.CrashLogParams{
		Host:             o.HostName,
		Stream:           o.Platform.Crashes,
		Put:              o.Platform.PutCrashes,
		PropagationLimit: o.StableWindow,
		Peers:            crashrpc.Client{Dialer: peers, Host: o.HostName},
		Crashes:          crashes,
		Logger:           o.Logger,
	})
	lc.Append(fx.Hook{OnStart: c.Start, OnStop: c.Stop})
	return c
}

func newPeers(lc fx.Lifecycle, h *follow.Hosts) *budgetrpc.Client {
	c := budgetrpc.NewClient(h)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
	return c
}

func newOccupancy(lc fx.Lifecycle, o Options, peers *budgetrpc.Client, h *follow.Hosts, f *fleet.Fleet, scope tally.Scope) *occupancy.Service {
	s := occupancy.New(occupancy.Params{Peers: occupancyrpc.Client{Dialer: peers}, Limits: f, Targets: f, RenewedAt: h.RenewedAt, Logger: o.Logger, Scope: scope})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

func newQuotas(lc fx.Lifecycle, o Options, peers *budgetrpc.Client, scope tally.Scope) *quota.Service {
	s := quota.New(quota.Params{Peers: quotarpc.Client{Dialer: peers}, Tolerance: o.QuotaTolerance, Logger: o.Logger, Scope: scope})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

func newPeerServer(s *spending.Service, c *conversation.Service, q *quarantine.Service, u *occupancy.Service, l *quota.Service, h *handover.Server, o Options) (*budgetrpc.Server, error) {
	register := func(mux drpc.Mux) error {
		if err := handoverrpc.Register(mux, h); err != nil {
			return err
		}
		if err := crashrpc.Register(mux, q); err != nil {
			return err
		}
		if err := occupancyrpc.Register(mux, u); err != nil {
			return err
		}
		if err := quotarpc.Register(mux, l); err != nil {
			return err
		}
		return conversationrpc.Register(mux, c)
	}
	return budgetrpc.NewServer(s, register, o.Logger.WithName("lending"))
}

// conversationMemoryShare is the share of the host's memory used to cache turns.
const conversationMemoryShare = 0.15

// defaultConversationBytes is the size of the cache if the host's memory is unknown.
const defaultConversationBytes = 64 << 20

// minTurnRetention is the minimum retention of turns.
const minTurnRetention = time.Minute

// turnRetention returns a function that returns the retention of turns. This is the
// longest retention in any configuration seen at a call, since turns of that time may
// still have to be kept. It is zero until a configuration has a route that keeps
// conversations.
func turnRetention(tables *route.Holder) func() time.Duration {
	var longest atomic.Int64
	return func() time.Duration {
		if t := tables.Current(); t != nil && t.Retention() > 0 {
			longest.Store(max(longest.Load(), int64(max(t.Retention(), minTurnRetention))))
		}
		return time.Duration(longest.Load())
	}
}

func newConversations(lc fx.Lifecycle, o Options, log *port.AnsweredLog, peers *budgetrpc.Client, tables *route.Holder, scope tally.Scope) *conversation.Service {
	memory := defaultConversationBytes
	if o.MemoryBytes > 0 {
		memory = int(conversationMemoryShare * float64(o.MemoryBytes))
	}
	c := conversation.New(conversation.Params{
		Log:         log,
		Partitions:  o.Partitions,
		RecordBytes: o.RecordBytes,
		CallBytes:   o.CallBytes,
		Peers:       conversationrpc.Client{Dialer: peers},
		Retention:   turnRetention(tables),
		MemoryBytes: memory,
		Logger:      o.Logger,
		Scope:       scope,
	})
	lc.Append(fx.Hook{OnStart: c.Start, OnStop: c.Stop})
	return c
}

func newLog(o Options) *port.AnsweredLog { return port.NewAnsweredLog(o.Platform.Log) }

func newSpending(lc fx.Lifecycle, o Options, log *port.AnsweredLog, lenders *budgetrpc.Client, tables *route.Holder, scope tally.Scope) *spending.Service {
	s := spending.New(spending.Params{
		Log:           log,
		LogAnsweredAt: log.AnsweredAt,
		Partitions:    o.Partitions,
		Peers:         lenders,
		CarriesPrograms: func() bool {
			table := tables.Current()
			return table != nil && table.CarriesPrograms()
		},
		Retention: o.Retention,
		Logger:    o.Logger,
		Scope:     scope,
	})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

func newReach(lc fx.Lifecycle, o Options, targets *fleet.Fleet, p *upstream.Pool, scope tally.Scope) *reach.Service {
	s := reach.New(reach.Params{Fleet: targets, Probe: p.Probe, Logger: o.Logger, Scope: scope})
	p.SetObserver(s)
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

// handoverPeers are the connections to other hosts for requests that are handed over. They
// carry one request at a time.
type handoverPeers struct{ *budgetrpc.Client }

func newHandoverPeers(lc fx.Lifecycle, h *follow.Hosts) handoverPeers {
	c := budgetrpc.NewClientWithIdle(h, handoverIdlePerHost)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return c.Close() }})
	return handoverPeers{c}
}

// handoverIdlePerHost is how many unused connections for requests are kept per host.
const handoverIdlePerHost = 16

func newHandover(o Options, peers handoverPeers, scope tally.Scope) *handover.Client {
	return handover.NewClient(handoverrpc.Client{Dialer: peers, Host: o.HostName}, o.Logger, scope)
}

func newHandoverServer(o Options, g *gateway.Gateway, c *handover.Client, r *reach.Service, s *readiness, scope tally.Scope) *handover.Server {
	return handover.NewServer(handover.ServerParams{
		State:         r.State,
		IsReady:       s.isReady,
		View:          g.View,
		Newest:        c.NewestConfiguration,
		MaxTargetsLag: maxMissedReads * follow.TargetsPause(o.DrainTime),
		Serve:         g.ServeHandover,
		Logger:        o.Logger,
		Scope:         scope,
	})
}

// maxMissedReads is how many reads of the targets a host that takes requests of others may be behind them. One read may
// fail or come late.
const maxMissedReads = 2

func newPool(lc fx.Lifecycle, scope tally.Scope) *upstream.Pool {
	p := upstream.NewPool(scope)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { p.Close(); return nil }})
	return p
}

func newQuarantine(lc fx.Lifecycle, o Options, pool *upstream.Pool, r *reach.Service, peers *budgetrpc.Client, scope tally.Scope) *quarantine.Service {
	probe := func(ctx context.Context, t upstream.Target) error {
		if r.State() == corereach.CutOff {
			return &quarantine.InconclusiveError{Cause: errCutOff}
		}
		err := pool.Probe(ctx, t)
		if errors.Is(ctx.Err(), context.Canceled) {
			return &quarantine.InconclusiveError{Cause: ctx.Err()}
		}
		if err == nil || r.ReachesOthers(context.WithoutCancel(ctx), t) {
			return err
		}
		return &quarantine.InconclusiveError{Cause: err}
	}
	q := quarantine.New(quarantine.Params{Probe: probe, Peers: crashrpc.Client{Dialer: peers, Host: o.HostName}, Logger: o.Logger, Scope: scope})
	lc.Append(fx.Hook{OnStop: q.Stop})
	return q
}

// errCutOff reports that a target was not probed because the host reaches none.
var errCutOff = errors.New("host is cut off from the targets")

func newOrigins(lc fx.Lifecycle, o Options, log *port.AnsweredLog, h *follow.Hosts, f *follow.Follower, tables *route.Holder, targets *fleet.Fleet, scope tally.Scope) *origin.Service {
	s := origin.New(origin.Params{
		Host:            o.HostName,
		Log:             log,
		Partitions:      o.Partitions,
		Releases:        o.Platform.Releases,
		PutRelease:      o.Platform.PutRelease,
		Fleet:           targets,
		TargetsReadAt:   f.TargetsReadAt,
		LongestStream:   func() time.Duration { return longestStream(tables) },
		Hosts:           func() int { return len(h.Hosts()) + 1 },
		WritesPerSecond: o.Platform.WritesPerSecond,
		Logger:          o.Logger,
		Scope:           scope,
	})
	f.OnTargetsChanged(s.TargetsChanged)
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
	return s
}

// longestStream returns the longest time that a resumable stream may take.
func longestStream(tables *route.Holder) time.Duration {
	t := tables.Current()
	if t == nil {
		return 0
	}
	return t.LongestStream()
}

// bodyMemoryDivisor gives the bodies of all requests in progress a sixth of the host's memory. With a
// quarter, a host of 112 MB used 111 MB before 4,000 connections with bodies that never end.
const bodyMemoryDivisor = 6

type gatewayParams struct {
	fx.In

	Options    Options
	Follower   *follow.Follower
	Tables     *route.Holder
	Fleet      *fleet.Fleet
	Pool       *upstream.Pool
	Spending   *spending.Service
	Turns      *conversation.Service
	Quarantine *quarantine.Service
	Occupancy  *occupancy.Service
	Quotas     *quota.Service
	Origins    *origin.Service
	Reach      *reach.Service
	Handover   *handover.Client
	Scope      tally.Scope
}

func newGateway(p gatewayParams) *gateway.Gateway {
	return gateway.New(gateway.Params{
		Protocol:       p.Options.Platform.Protocol,
		Tables:         p.Tables,
		Fleet:          p.Fleet,
		Pool:           p.Pool,
		Budgets:        p.Spending,
		Placement:      p.Occupancy,
		Conversations:  p.Turns,
		Origins:        p.Origins,
		Reach:          p.Reach,
		Handover:       p.Handover,
		Quarantine:     p.Quarantine,
		Quotas:         p.Quotas,
		TargetsReadAt:  p.Follower.TargetsReadAt,
		RefreshTargets: p.Follower.RefreshTargets,
		BodyBytes:      p.Options.MemoryBytes / bodyMemoryDivisor,
		Log:            p.Options.Logger,
		Scope:          p.Scope,
	})
}
