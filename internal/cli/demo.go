package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"yuccausher/internal/demo"
)

// demoCommand runs the demo: two programs that survive failures.
type demoCommand struct{}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "show two programs that survive a killed host and a lost answer"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo

Starts three hosts and the stand-ins on free loopback ports, runs an inquiry
and a reshuffle, kills a host between two turns and loses the answer to a
posting. Prints a table of what happened and ends by itself: with 0 if all
checks hold, else with 1.

`
}

// SetFlags implements subcommands.Command.
func (*demoCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return usageError(f, nil)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	if err := demo.Run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
