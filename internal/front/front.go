// Package front puts the parts of a host on the users' platform together as
// fx modules: it follows the platform's store, keeps budgets and forwards
// callers' requests to targets.
package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"storj.io/drpc"

	"yuccausher/internal/adapter/budgetrpc"
	"yuccausher/internal/adapter/conversationrpc"
	"yuccausher/internal/adapter/crashrpc"
	"yuccausher/internal/adapter/metrics"
	"yuccausher/internal/conversation"
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
	Hosts   port.KeyedStream
	PutHost func(ctx context.Context, key string, value []byte) error
	// Crashes holds the crashes of targets, which PutCrashes writes.
	Crashes    port.KeyedStream
	PutCrashes func(ctx context.Context, records []port.KeyedRecord) error
	Protocol   gateway.Protocol
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
	// StableTime is how long after a disturbance a host must know what others know.
	StableWindow time.Duration
	// StopTime is the time between SIGTERM and SIGKILL.
	StopTime time.Duration
	// Partitions is how many partitions of the shared log carry the claims on
	// budgets.
	Partitions int
	// Retention is how long the shared log keeps records without a key.
	Retention time.Duration
	// RecordBytes and CallBytes bound a record of the shared log and the records of
	// one append.
	RecordBytes, CallBytes int
	// MemoryBytes is the host's memory; zero if it is not known.
	MemoryBytes int64
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
		fx.Provide(newMetrics, newScope, newFleet, newFollower, newHosts, newCrashLog, newPeers, newSpending, newConversations, newLending, newPool, newQuarantine, newGateway, newServers),
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

func newLending(s *spending.Service, c *conversation.Service, q *quarantine.Service, o Options) (*budgetrpc.Server, error) {
	register := func(mux drpc.Mux) error {
		if err := crashrpc.Register(mux, q); err != nil {
			return err
		}
		return conversationrpc.Register(mux, c)
	}
	return budgetrpc.NewServer(s, register, o.Logger.WithName("lending"))
}

// conversationShare is the part of the host's memory in which turns are remembered.
const conversationShare = 0.15

// defaultConversationBytes bounds the same where the host's memory is not known.
const defaultConversationBytes = 64 << 20

// leastTurnRetention is for how long turns are kept at least.
const leastTurnRetention = time.Minute

// turnRetention returns for how long turns are to be kept: the longest time that a
// configuration in force has ever said, since turns of that time may still be due.
// It is zero as long as none has had a route that keeps conversations.
func turnRetention(tables *route.Holder) func() time.Duration {
	var longest atomic.Int64
	return func() time.Duration {
		if t := tables.Current(); t != nil && t.Retention() > 0 {
			longest.Store(max(longest.Load(), int64(max(t.Retention(), leastTurnRetention))))
		}
		return time.Duration(longest.Load())
	}
}

func newConversations(lc fx.Lifecycle, o Options, peers *budgetrpc.Client, tables *route.Holder, scope tally.Scope) *conversation.Service {
	memory := defaultConversationBytes
	if o.MemoryBytes > 0 {
		memory = int(conversationShare * float64(o.MemoryBytes))
	}
	c := conversation.New(conversation.Params{
		Log:         o.Platform.Log,
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

func newSpending(lc fx.Lifecycle, o Options, lenders *budgetrpc.Client, scope tally.Scope) *spending.Service {
	s := spending.New(spending.Params{
		Log:        o.Platform.Log,
		Partitions: o.Partitions,
		Peers:      lenders,
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
	Turns      *conversation.Service
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
		Conversations: p.Turns,
		Quarantine:    p.Quarantine,
		TargetsReadAt: p.Follower.TargetsReadAt,
		Log:           p.Options.Logger,
		Scope:         p.Scope,
	})
}
