package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"yuccausher/internal/load"
)

// loadCommand runs a bounded load of complete programs on hosts.
type loadCommand struct {
	hosts    string
	control  string
	callers  int
	duration time.Duration
	seed     uint64
	faults   bool
}

// Bounds of the load of one command.
const (
	maxCallers  = 500
	maxDuration = 10 * time.Minute
)

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "put a bounded load on hosts and check what must hold" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -hosts URL,URL,... -control URL [flags]

Runs inquiries, audits and reshuffles as callers would, each under a fixed seed,
and then checks from the callers' answers and the stand-in's counts that nothing
ran twice, no history lacks an answer, and no budget was exceeded. Only for
hosts before stand-ins. Exits with 1 if something did not hold.

`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "base URLs of the entry hosts, comma-separated")
	f.StringVar(&c.control, "control", "", "base URL of the stand-in's control")
	f.IntVar(&c.callers, "callers", 24, "programs at once, at most 500")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "how long programs are opened, at most 10m")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the programs")
	f.BoolVar(&c.faults, "faults", false, "cause the built-in list of failures meanwhile")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	wrong := c.hosts == "" || c.control == "" || c.callers < 1 || c.callers > maxCallers
	if wrong || c.duration <= 0 || c.duration > maxDuration {
		f.Usage()
		return subcommands.ExitUsageError
	}
	err := load.Run(ctx, load.Options{
		Hosts:    strings.Split(c.hosts, ","),
		Control:  c.control,
		Callers:  c.callers,
		Duration: c.duration,
		Seed:     c.seed,
		Faults:   c.faults,
	}, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
