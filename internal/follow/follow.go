// Package follow reads the platform's keyed streams: the configuration that operators
// publish, the records of targets and hosts, and the crash marks that hosts share. It
// keeps the host's route table, fleet, list of hosts and quarantine up to date with
// them.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/route"
	"yuccausher/internal/port"
)

// configurationWait is the long-poll time of a read of configurations. A connection
// that has fallen silent delays a change by at most this and the timeout of one call.
const configurationWait = 2 * time.Second

// targetPolls is how many times the targets are read per drain time, within which a
// leaving target must stop receiving requests.
const targetPolls = 3

// Params are the dependencies and settings of a follower.
type Params struct {
	// Configuration contains the operators' configuration document under
	// ConfigurationKey.
	Configuration       port.KeyedStream
	ConfigurationKey    string
	DecodeConfiguration func([]byte) (route.Document, error)
	// Targets contains the record of each target under the target's ID.
	Targets      port.KeyedStream
	DecodeTarget func(id string, value []byte) (fleet.Member, error)
	// DrainTime is the time within which a leaving target must stop receiving requests.
	DrainTime time.Duration

	Tables *route.Holder
	Fleet  *fleet.Fleet
	// OnStarted is called for each target that is new or has restarted.
	OnStarted func(fleet.Member)
	Logger    logr.Logger
	Scope     tally.Scope
}

// Follower reads the configuration and the targets until it is stopped.
type Follower struct {
	configuration *tail
	targets       *tail
	// onTargetsChanged is called after the fleet has changed. It is set before the start.
	onTargetsChanged func()
	stop             context.CancelFunc
	done             sync.WaitGroup
}

// TargetsPause returns the pause between two reads of the targets for the time after which a leaving target must get no
// more requests.
func TargetsPause(drainTime time.Duration) time.Duration { return drainTime / targetPolls }

// New returns a follower. Call Start to begin reading.
func New(p Params) *Follower {
	scope := p.Scope.SubScope("follow")
	configurationLog := p.Logger.WithName("configuration")
	targetsLog := p.Logger.WithName("targets")
	f := &Follower{onTargetsChanged: func() {}}
	f.configuration = &tail{
		stream: p.Configuration,
		wait:   configurationWait,
		log:    configurationLog,
		handler: &configuration{
			key:     p.ConfigurationKey,
			decode:  p.DecodeConfiguration,
			tables:  p.Tables,
			log:     configurationLog,
			version: scope.Gauge("configuration_version"),
			invalid: scope.Counter("invalid_configurations"),
		},
	}
	f.targets = &tail{
		stream:    p.Targets,
		pause:     TargetsPause(p.DrainTime),
		log:       targetsLog,
		refresher: newRefresher(),
		handler: &targets{
			decode:  p.DecodeTarget,
			fleet:   p.Fleet,
			started: p.OnStarted,
			changed: func() { f.onTargetsChanged() },
			log:     targetsLog,
			count:   scope.Gauge("targets"),
			invalid: scope.Counter("invalid_targets"),
			warned:  make(map[string]bool),
		},
	}
	return f
}

// OnTargetsChanged sets a function that is called after the fleet has changed. It must be called
// before Start.
func (f *Follower) OnTargetsChanged(changed func()) { f.onTargetsChanged = changed }

// Start starts reading both streams in the background.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.done.Go(func() { f.configuration.run(ctx) })
	f.done.Go(func() { f.targets.run(ctx) })
	return nil
}

// Stop stops reading and waits for the readers to end.
func (f *Follower) Stop(context.Context) error {
	f.stop()
	f.done.Wait()
	return nil
}

// RefreshTargets reads the targets at once. It returns the error of the read, or that of ctx.
func (f *Follower) RefreshTargets(ctx context.Context) error { return f.targets.refresher.wait(ctx) }

// TargetsReadAt returns when the targets were last read; zero before the first read.
func (f *Follower) TargetsReadAt() time.Time { return f.targets.readAt() }
