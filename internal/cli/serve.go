package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"yuccausher/internal/adapter/logging"
	"yuccausher/internal/app"
	"yuccausher/internal/settings"
)

// serveCommand runs one host.
type serveCommand struct {
	settings *settings.Serve
	unknown  []string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run one entry host until SIGTERM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -data-centre NAME -platform-url URL [-listen IP:PORT] [-peer-listen IP:PORT] ...

Runs one entry host. SIGTERM makes a planned stop: the host announces that it
leaves, gives its partitions back, finishes what is in flight and exits with 0.
A second SIGTERM ends it at once. Each flag can also be set in the environment:
-log-url is ` + settings.EnvPrefix + `_LOG_URL; a flag comes before the environment.

`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) { c.settings = settings.NewServe(f) }

// filter implements argumentFilter.
func (c *serveCommand) filter(args []string) []string {
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	settings.NewServe(flags)
	known, unknown := settings.SplitUnknown(flags, args)
	c.unknown = unknown
	return known
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.settings.Resolve(c.unknown); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(c.settings.MemoryLimit)
	}
	if err := serve(ctx, c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve runs a host until it is stopped by a signal or drained by an operator.
func serve(ctx context.Context, s *settings.Serve) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	logger := logging.New(os.Stderr, logging.Level(s.LogLevel))
	a, err := app.New(app.Options{Settings: s, Logger: logger})
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		a.Kill()
		return err
	}
	self := a.Self()
	logger.WithName("serve").Info("Host is up.", "host", self.ID, "callers", self.ClientAddress)
	select {
	case <-a.Done():
		return nil
	case <-ctx.Done():
	}
	// A second signal interrupts the planned stop.
	stop()
	again, cancel := signalContext(context.Background())
	defer cancel()
	return a.Stop(again)
}
