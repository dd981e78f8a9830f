package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"yuccausher/internal/capacity"
)

// capacityCommand computes the capacity tables from benchmark results.
type capacityCommand struct {
	measured string
	page     string
}

// Name implements subcommands.Command.
func (*capacityCommand) Name() string { return "capacity" }

// Synopsis implements subcommands.Command.
func (*capacityCommand) Synopsis() string {
	return "work out the load of each role from measured slopes"
}

// Usage implements subcommands.Command.
func (*capacityCommand) Usage() string {
	return `capacity -measured FILE [-page FILE]

Reads the output of "go test -run xxx -bench Capacity ./..." and prints what
each role costs at the planned size. With -page, the tables of that page are
replaced instead.

`
}

// SetFlags implements subcommands.Command.
func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.measured, "measured", "docs/capacity/measured.txt", "output of the capacity benchmarks")
	f.StringVar(&c.page, "page", "", "page whose tables are replaced; none: print them")
}

// Execute implements subcommands.Command.
func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *capacityCommand) run() error {
	file, err := os.Open(c.measured)
	if err != nil {
		return err
	}
	defer file.Close()
	m, err := capacity.Load(file, c.measured)
	if err != nil {
		return err
	}
	tables := capacity.Tables(m, capacity.Planned())
	if c.page == "" {
		fmt.Print(tables)
		return nil
	}
	page, err := os.ReadFile(c.page)
	if err != nil {
		return err
	}
	changed, err := capacity.Insert(string(page), tables)
	if err != nil {
		return err
	}
	return os.WriteFile(c.page, []byte(changed), 0o644)
}
