// Package cli holds the subcommands of yuccausher.
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

// commands returns all subcommands by group.
func commands() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"see it run":        {&demoCommand{}, &devCommand{}, &standinCommand{}, &loadCommand{}},
		"run a host":        {&serveCommand{}, &frontCommand{}},
		"operate the fleet": {&checkConfigCommand{}, &ctlCommand{}, &capacityCommand{}},
	}
}

// argumentFilter is a command that judges its flags itself and so takes out
// of its arguments what the flag package would stop at.
type argumentFilter interface {
	filter(args []string) []string
}

// Main runs the subcommand that args name and returns the exit code: 0 after
// success, 1 after a failure, 2 after a wrong command line.
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

// filtered lets the command that args name filter its arguments.
func filterArguments(c subcommands.Command, args []string) []string {
	f, ok := c.(argumentFilter)
	if !ok || len(args) == 0 || args[0] != c.Name() {
		return args
	}
	return append([]string{args[0]}, f.filter(args[1:])...)
}

// asHelp turns a request for help by flag into the help command, which
// succeeds.
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
