package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
)

// checkConfigCommand validates a configuration document.
type checkConfigCommand struct{}

// Name implements subcommands.Command.
func (*checkConfigCommand) Name() string { return "check-config" }

// Synopsis implements subcommands.Command.
func (*checkConfigCommand) Synopsis() string { return "validate a configuration document" }

// Usage implements subcommands.Command.
func (*checkConfigCommand) Usage() string {
	return `check-config FILE

Validates a configuration document whole and names each wrong field by its
path. Exits with 0 if the document is valid and with 1 if it is not.

`
}

// SetFlags implements subcommands.Command.
func (*checkConfigCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkConfigCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if _, err := config.Check(data, nil); err != nil {
		printConfigErrors(os.Stderr, f.Arg(0), fault.Of(err))
		return subcommands.ExitFailure
	}
	fmt.Println(f.Arg(0), "is valid")
	return subcommands.ExitSuccess
}

// printConfigErrors prints one line per invalid field.
func printConfigErrors(w io.Writer, file string, f *fault.Fault) {
	if len(f.Fields) == 0 {
		fmt.Fprintf(w, "%s: %s\n", file, f.Message)
		return
	}
	for _, field := range f.Fields {
		fmt.Fprintf(w, "%s: %s: %s\n", file, field.Path, field.Message)
	}
}
