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

// configurationWait is how long a read waits for the next configuration. A
// connection that has fallen silent delays a change by no more than this and
// one call's timeout.
const configurationWait = 2 * time.Second

// targetPolls is how many times targets are read within the time in which
// a leaving target must get no more requests.
const targetPolls = 3

// Params are what a follower is built from.
type Params struct {
	// Configuration holds the operators' document under ConfigurationKey.
	Configuration       port.KeyedStream
	ConfigurationKey    string
	DecodeConfiguration func([]byte) (route.Document, error)
	// Targets holds each target's record under its ID.
	Targets      port.KeyedStream
	DecodeTarget func(id string, value []byte) (fleet.Member, error)
	// DrainTime is how soon a leaving target must get no more requests.
	DrainTime time.Duration

	Tables *route.Holder
	Fleet  *fleet.Fleet
	// Started is told of each target that is new or has started anew.
	OnStarted func(fleet.Member)
	Logger    logr.Logger
	Scope     tally.Scope
}

// Follower reads both streams until it is stopped.
type Follower struct {
	configuration *tail
	targets       *tail
	stop          context.CancelFunc
	done          sync.WaitGroup
}

// New returns a follower.
func New(p Params) *Follower {
	scope := p.Scope.SubScope("follow")
	configurationLog := p.Logger.WithName("configuration")
	targetsLog := p.Logger.WithName("targets")
	return &Follower{
		configuration: &tail{
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
		},
		targets: &tail{
			stream: p.Targets,
			pause:  p.DrainTime / targetPolls,
			log:    targetsLog,
			handler: &targets{
				decode:  p.DecodeTarget,
				fleet:   p.Fleet,
				started: p.OnStarted,
				log:     targetsLog,
				count:   scope.Gauge("targets"),
				invalid: scope.Counter("invalid_targets"),
				warned:  make(map[string]bool),
			},
		},
	}
}

// Start starts to read.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.done.Go(func() { f.configuration.run(ctx) })
	f.done.Go(func() { f.targets.run(ctx) })
	return nil
}

// Stop ends the reads.
func (f *Follower) Stop(context.Context) error {
	f.stop()
	f.done.Wait()
	return nil
}

// TargetsReadAt returns when the targets were last read; zero before the first
// time.
func (f *Follower) TargetsReadAt() time.Time { return f.targets.readAt() }
