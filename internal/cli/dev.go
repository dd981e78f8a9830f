package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"yuccausher/internal/adapter/logging"
	"yuccausher/internal/dev"
)

const (
	devReadyTimeout = 30 * time.Second
	devStopTimeout  = 30 * time.Second
)

// devCommand runs several hosts and the stand-ins in one process.
type devCommand struct {
	hosts    int
	port     int
	logLevel string
}

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string { return "run several hosts and the stand-ins in one process" }

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return `dev -hosts N -port B

Runs N hosts at 127.0.0.1:B to B+N-1 and the stand-ins of the platform and the
targets, with their control at B+100, until SIGTERM. Hosts reach each other at
B+200 to B+200+N-1.

`
}

// SetFlags implements subcommands.Command.
func (d *devCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&d.hosts, "hosts", 3, fmt.Sprintf("`number` of hosts, from 1 to %d", dev.MaxHosts))
	f.IntVar(&d.port, "port", 8080, "`port` of the first host")
	f.StringVar(&d.logLevel, "log-level", "info", "how much the hosts log: "+strings.Join(logging.Levels, " or "))
}

// check returns an error if a flag is out of range.
func (d *devCommand) check() error {
	if d.hosts < 1 || d.hosts > dev.MaxHosts {
		return &flagError{Name: "hosts", Allowed: fmt.Sprintf("a number from 1 to %d", dev.MaxHosts)}
	}
	return checkPort("port", d.port, dev.Ports)
}

// Execute implements subcommands.Command.
func (d *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := d.check(); err != nil || f.NArg() > 0 {
		return usageError(f, err)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	if err := d.run(ctx, stop); err != nil {
		fmt.Fprintln(os.Stderr, "dev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs the cluster until ctx ends, then stops it. A second signal ends the
// process at once.
func (d *devCommand) run(ctx context.Context, stopSignals context.CancelFunc) error {
	cluster, err := dev.Start(ctx, dev.Options{
		Hosts:    d.hosts,
		BasePort: d.port,
		Logger:   logging.New(os.Stderr, logging.Level(d.logLevel)),
	})
	if err != nil {
		return err
	}
	err = waitUntilDone(ctx, cluster)
	stopSignals()
	stopping, end := context.WithTimeout(context.Background(), devStopTimeout)
	defer end()
	if stopErr := cluster.Stop(stopping); err == nil {
		err = stopErr
	}
	return err
}

// waitUntilDone prints a line when the cluster is ready and returns when ctx ends.
func waitUntilDone(ctx context.Context, cluster *dev.Cluster) error {
	ready, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	err := cluster.WaitReady(ready)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	fmt.Println("dev is ready: hosts", strings.Join(cluster.Bases(), " "), "control", cluster.Control())
	<-ctx.Done()
	return nil
}
