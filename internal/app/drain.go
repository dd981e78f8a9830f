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

// drain implements port.Operations and the planned stop. A planned stop announces that
// the host leaves, releases its partitions while calls continue, stops accepting
// connections, and waits for requests in flight.
type drain struct {
	settings  *settings.Serve
	members   *membership.Service
	owner     *owner.Service
	scheduler *sched.Scheduler
	config    *config.Holder
	log       logr.Logger
	// servers is set by the server module.
	servers drainer
	// onFinished is called when the drain has ended.
	onFinished func()

	leaving atomic.Bool
	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
}

// drainer stops accepting requests and waits for those in flight.
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

// start begins the planned stop, on the first call only, and returns immediately.
func (d *drain) start() {
	d.once.Do(func() {
		d.leaving.Store(true)
		go d.run()
	})
}

// abort ends a planned stop in progress, or prevents one from starting.
func (d *drain) abort() {
	d.once.Do(func() { d.leaving.Store(true) })
	d.cancel()
}

// run performs the planned stop within the drain timeout.
func (d *drain) run() {
	defer d.onFinished()
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.DrainTimeout)
	defer cancel()
	d.log.Info("Planned stop started.")
	if err := d.members.Leave(ctx); err != nil {
		d.log.Info("Departure was not announced in time.", "cause", err.Error())
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
		d.log.Info("Requests were still in flight when the planned stop ended.", "cause", err.Error())
		return
	}
	d.log.Info("Planned stop completed.")
}
