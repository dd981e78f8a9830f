package app

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/configuration"
	"yuccausher/internal/core/config"
	"yuccausher/internal/entry"
	"yuccausher/internal/membership"
	"yuccausher/internal/owner"
	"yuccausher/internal/port"
	"yuccausher/internal/sched"
)

// part is what starts and stops with the host.
type part interface {
	Start(context.Context) error
	Stop(context.Context) error
}

func follow(lc fx.Lifecycle, p part) {
	lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
}

var membershipModule = fx.Module("membership",
	fx.Provide(func() *config.Holder { return &config.Holder{} }),
	fx.Provide(newQuarantine),
	fx.Provide(newMembership),
	fx.Provide(func(s *membership.Service) port.Members { return s }),
)

type membershipParams struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Options    Options
	Self       port.Host
	Peers      port.Peers
	HostList   port.HostList
	Holder     *config.Holder
	Quarantine *quarantine
	Scope      tally.Scope
}

func newMembership(p membershipParams) *membership.Service {
	s := membership.New(membership.Params{
		Self:       p.Self,
		Peers:      &markingPeers{Peers: p.Peers, quarantine: p.Quarantine},
		HostList:   p.HostList,
		Holder:     p.Holder,
		Quarantine: p.Quarantine,
		Metrics:    p.Scope,
		Logger:     p.Options.Logger,
	})
	p.Quarantine.members.Store(s)
	follow(p.Lifecycle, s)
	return s
}

var configurationModule = fx.Module("configuration",
	fx.Provide(newConfiguration),
	fx.Provide(func(s *configuration.Service) port.Configuration { return s }),
)

type configurationParams struct {
	fx.In

	Lifecycle fx.Lifecycle
	Options   Options
	Log       port.Log
	Peers     port.Peers
	Members   port.Members
	Holder    *config.Holder
	Scope     tally.Scope
}

func newConfiguration(p configurationParams) *configuration.Service {
	s := configuration.New(configuration.Params{
		Log:      p.Log,
		Peers:    p.Peers,
		Members:  p.Members,
		Holder:   p.Holder,
		Metrics:  p.Scope,
		Logger:   p.Options.Logger,
		Settings: configuration.Settings{Retention: p.Options.Settings.LogRetention},
	})
	follow(p.Lifecycle, s)
	return s
}

var schedulerModule = fx.Module("scheduler",
	fx.Provide(newScheduler),
	fx.Provide(func(s *sched.Scheduler) port.Scheduler { return s }),
)

type schedulerParams struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Options    Options
	Self       port.Host
	Engine     port.Engine
	HostList   port.HostList
	Members    port.Members
	Holder     *config.Holder
	Quarantine *quarantine
	Scope      tally.Scope
}

func newScheduler(p schedulerParams) *sched.Scheduler {
	s := sched.New(sched.Params{
		Config:       p.Holder,
		Engine:       p.Engine,
		HostList:     p.HostList,
		Self:         p.Self,
		Members:      p.Members,
		Metrics:      p.Scope,
		Log:          p.Options.Logger,
		OnQuarantine: p.Quarantine.found,
		OnCrash:      p.Quarantine.crashed,
	})
	p.Quarantine.registry.Store(s)
	follow(p.Lifecycle, s)
	return s
}

var ownerModule = fx.Module("owner", fx.Provide(newOwner))

type ownerParams struct {
	fx.In

	Lifecycle  fx.Lifecycle
	Options    Options
	Log        port.Log
	Engine     port.Engine
	Service    port.Service
	Members    port.Members
	Scheduler  port.Scheduler
	Holder     *config.Holder
	Quarantine *quarantine
	Scope      tally.Scope
}

// drainReserve is the part of the drain timeout that is kept for releasing
// partitions after the calls in flight.
const drainReserve = 5 * time.Second

func newOwner(p ownerParams) *owner.Service {
	set := p.Options.Settings
	s := owner.New(owner.Params{
		Log:          p.Log,
		Engine:       p.Engine,
		Service:      p.Service,
		Members:      p.Members,
		Scheduler:    p.Scheduler,
		Config:       p.Holder,
		Metrics:      p.Scope.SubScope("owner"),
		Logger:       p.Options.Logger.WithName("owner"),
		OnQuarantine: p.Quarantine.learnOne,
		Settings: owner.Settings{
			AppendsPerSecond: float64(set.AppendRate),
			Retention:        set.LogRetention,
			Expiry:           set.ProgramExpiry,
			DrainTimeout:     max(set.DrainTimeout-drainReserve, set.DrainTimeout/2),
		},
	})
	p.Quarantine.recorder.Store(s)
	follow(p.Lifecycle, s)
	return s
}

var entryModule = fx.Module("entry", fx.Provide(newRouter))

type routerParams struct {
	fx.In

	Options Options
	Holder  *config.Holder
	Members port.Members
	Owner   *owner.Service
	Peers   port.Peers
	Scope   tally.Scope
}

func newRouter(p routerParams) *entry.Router {
	return entry.New(entry.Params{
		Config:  p.Holder,
		Members: p.Members,
		Local:   p.Owner,
		Peers:   p.Peers,
		Log:     p.Options.Logger.WithName("entry"),
		Scope:   p.Scope,
	})
}
