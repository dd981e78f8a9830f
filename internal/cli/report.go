package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"yuccausher/internal/report"
)

const (
	// defaultReportWindow is the length of the periods that are reported on.
	defaultReportWindow = 2 * time.Second
	// defaultReportPrograms is how many late programs are listed.
	defaultReportPrograms = 40
)

// reportCommand analyses logs of hosts.
type reportCommand struct {
	window   time.Duration
	programs int
}

// Name implements subcommands.Command.
func (*reportCommand) Name() string { return "report" }

// Synopsis implements subcommands.Command.
func (*reportCommand) Synopsis() string { return "tell from logs where programs lost their time" }

// Usage implements subcommands.Command.
func (*reportCommand) Usage() string {
	return `report [-window D] [-programs N] LOG...

Reads the structured logs of one or more hosts. Writes what became of the
requests of each route in each window, which programs were late, what they
lost their time to, and whether they would have been on time without it.

`
}

// SetFlags implements subcommands.Command.
func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", defaultReportWindow, "length of a window")
	f.IntVar(&c.programs, "programs", defaultReportPrograms, "how many late programs are listed")
}

// Execute implements subcommands.Command.
func (c *reportCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 || c.window <= 0 || c.programs < 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	r := report.New(c.window)
	for _, name := range f.Args() {
		if err := readLog(r, name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if err := r.Write(os.Stdout, c.programs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLog(r *report.Report, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return r.Read(file)
}
