// Package cli implements the subcommands of yuccausher.
package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"
)

const program = "yuccausher"

// commands returns all subcommands by help group.
func commands() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"see it run":        {&demoCommand{}, &devCommand{}, &standinCommand{}, &loadCommand{}},
		"run a host":        {&serveCommand{}, &frontCommand{}},
		"operate the fleet": {&checkConfigCommand{}, &ctlCommand{}, &reportCommand{}, &capacityCommand{}},
	}
}

// argumentFilter is implemented by commands that report unknown flags themselves.
// filter returns the arguments without those, which the flag package rejects.
type argumentFilter interface {
	filter(args []string) []string
}

// Main runs the subcommand named in args and returns the exit code: 0 for
// success, 1 for a failure, 2 for an invalid command line.
func Main(ctx context.Context, args []string) int {
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	top := flag.NewFlagSet(program, flag.ContinueOnError)
	top.SetOutput(errOut)
	commander := subcommands.NewCommander(top, program)
	commander.Output = out
	commander.Error = errOut
	commander.Register(commander.HelpCommand(), "")
	for group, list := range commands() {
		for _, c := range list {
			commander.Register(c, group)
			args = filterArguments(c, args)
		}
	}
	if err := top.Parse(helpArgs(args)); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// filterArguments applies the filter of c to args if they name c.
func filterArguments(c subcommands.Command, args []string) []string {
	f, ok := c.(argumentFilter)
	if !ok || len(args) == 0 || args[0] != c.Name() {
		return args
	}
	return append([]string{args[0]}, f.filter(args[1:])...)
}

// helpArgs converts a help flag into the help command, which exits with 0.
func helpArgs(args []string) []string {
	isHelp := func(arg string) bool { return slices.Contains([]string{"-h", "-help", "--help"}, arg) }
	switch {
	case len(args) > 0 && isHelp(args[0]):
		return []string{"help"}
	case len(args) > 1 && slices.ContainsFunc(args[1:], isHelp):
		return []string{"help", args[0]}
	}
	return args
}
