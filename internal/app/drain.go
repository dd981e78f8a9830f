package app

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/membership"
	"yuccausher/internal/owner"
	"yuccausher/internal/port"
	"yuccausher/internal/sched"
	"yuccausher/internal/settings"
)

var drainModule = fx.Module("drain",
	fx.Provide(newDrain),
	fx.Provide(func(d *drain) port.Operations { return d }),
)

// drain implements port.Operations and the planned stop: announce leaving,
// give the partitions back while calls go on, stop taking connections, and
// wait for what is in flight.
type drain struct {
	settings  *settings.Serve
	members   *membership.Service
	owner     *owner.Service
	scheduler *sched.Scheduler
	config    *config.Holder
	log       logr.Logger
	// servers is set by the server module.
	servers drainer
	// finished is told the end of the drain.
	onFinished func()

	leaving atomic.Bool
	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
}

// drainer stops taking requests and waits for those in flight.
type drainer interface {
	drain(ctx context.Context) error
}

type drainParams struct {
	fx.In

	Options   Options
	Members   *membership.Service
	Owner     *owner.Service
	Scheduler *sched.Scheduler
	Holder    *config.Holder
}

func newDrain(p drainParams) *drain {
	ctx, cancel := context.WithCancel(context.Background())
	return &drain{
		settings:  p.Options.Settings,
		members:   p.Members,
		owner:     p.Owner,
		scheduler: p.Scheduler,
		config:    p.Holder,
		log:       p.Options.Logger.WithName("drain"),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Hosts implements port.Operations.
func (d *drain) Hosts() []port.Member { return d.members.Table() }

// Targets implements port.Operations.
func (d *drain) Targets() []port.TargetView { return d.scheduler.Targets() }

// Partitions implements port.Operations.
func (d *drain) Partitions() []port.PartitionView { return d.owner.Partitions() }

// Drain implements port.Operations.
func (d *drain) Drain(context.Context) error {
	d.start()
	return nil
}

// Ready implements port.Operations.
func (d *drain) Ready() error {
	if d.leaving.Load() {
		return fault.New(fault.NotReady, fault.NotRun, "host is leaving")
	}
	if d.config.Current() == nil {
		return fault.New(fault.NotReady, fault.NotRun, "host has no configuration yet")
	}
	return nil
}

// start begins the planned stop once and returns at once.
func (d *drain) start() {
	d.once.Do(func() {
		d.leaving.Store(true)
		go d.run()
	})
}

// abandon ends a planned stop under way, or keeps one from starting.
func (d *drain) abort() {
	d.once.Do(func() { d.leaving.Store(true) })
	d.cancel()
}

func (d *drain) run() {
	defer d.onFinished()
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.DrainTimeout)
	defer cancel()
	d.log.Info("Planned stop begins.")
	if err := d.members.Leave(ctx); err != nil {
		d.log.Info("Leaving was not announced to all.", "cause", err.Error())
	}
	notice := time.After(d.settings.DrainNotice)
	if err := d.owner.Release(ctx); err != nil {
		d.log.Info("Partitions were not all released.", "cause", err.Error())
	}
	select {
	case <-notice:
	case <-ctx.Done():
	}
	if err := d.servers.drain(ctx); err != nil {
		d.log.Info("Requests were still in flight at the end.", "cause", err.Error())
		return
	}
	d.log.Info("Planned stop is done.")
}
