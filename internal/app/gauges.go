package app

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"yuccausher/internal/owner"
	"yuccausher/internal/port"
	"yuccausher/internal/sched"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

var gaugeModule = fx.Module("gauges", fx.Invoke(newGauges))

// gauges reports partitions, programs, queue length and live hosts as metrics.
type gauges struct {
	owner      *owner.Service
	scheduler  *sched.Scheduler
	members    port.Members
	partitions tally.Gauge
	programs   tally.Gauge
	queued     tally.Gauge
	alive      tally.Gauge

	cancel context.CancelFunc
	task   sync.WaitGroup
}

func newGauges(lc fx.Lifecycle, o *owner.Service, s *sched.Scheduler, m port.Members, scope tally.Scope) {
	h := scope.SubScope("host")
	registerHooks(lc, &gauges{
		owner:      o,
		scheduler:  s,
		members:    m,
		partitions: h.Gauge("partitions_owned"),
		programs:   h.Gauge("programs"),
		queued:     h.Gauge("queue"),
		alive:      h.Gauge("hosts_alive"),
	})
}

// Start implements component.
func (g *gauges) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.task.Go(func() { g.run(ctx) })
	return nil
}

// Stop implements component.
func (g *gauges) Stop(context.Context) error {
	g.cancel()
	g.task.Wait()
	return nil
}

func (g *gauges) run(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		g.update()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *gauges) update() {
	owned, programs, alive := 0, 0, 0
	for _, p := range g.owner.Partitions() {
		if p.State == "owned" {
			owned++
			programs += p.Programs
		}
	}
	for _, m := range g.members.Table() {
		if m.State == port.MemberAlive {
			alive++
		}
	}
	g.partitions.Update(float64(owned))
	g.programs.Update(float64(programs))
	g.queued.Update(float64(g.scheduler.Queued()))
	g.alive.Update(float64(alive))
}
