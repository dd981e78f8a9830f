package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// ctlCommand makes an operator's call to one host.
type ctlCommand struct {
	host string
	base string
}

// Name implements subcommands.Command.
func (*ctlCommand) Name() string { return "ctl" }

// Synopsis implements subcommands.Command.
func (*ctlCommand) Synopsis() string { return "make an operator's call to a host" }

// Usage implements subcommands.Command.
func (*ctlCommand) Usage() string {
	return `ctl [-host IP:PORT] CALL

  hosts            the hosts, as this host sees them
  targets          the targets
  partitions       the partitions and their owners
  config get       the configuration document; its version goes to stderr
  config put FILE  publish a document, based on the version in force or on -base
  drain            start a planned stop of the host

`
}

// SetFlags implements subcommands.Command.
func (c *ctlCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.host, "host", "127.0.0.1:8080", "`IP:PORT` at which the host takes callers")
	f.StringVar(&c.base, "base", "", "`version` that the document to publish is based on")
}

// Execute implements subcommands.Command.
func (c *ctlCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	call, ok := ctlCalls[strings.Join(callName(f.Args()), " ")]
	if !ok || f.NArg() != call.arguments {
		f.Usage()
		return subcommands.ExitUsageError
	}
	session := &ctlSession{operator: newOperatorClient(c.host), base: c.base, args: f.Args(), out: os.Stdout}
	if err := call.run(session, ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// ctlSession is one invocation of ctl.
type ctlSession struct {
	operator *operatorClient
	base     string
	args     []string
	out      io.Writer
}

type ctlCall struct {
	arguments int
	run       func(*ctlSession, context.Context) error
}

var ctlCalls = map[string]ctlCall{
	"hosts":      {1, (*ctlSession).hosts},
	"targets":    {1, (*ctlSession).targets},
	"partitions": {1, (*ctlSession).partitions},
	"config get": {2, (*ctlSession).getConfig},
	"config put": {3, (*ctlSession).putConfig},
	"drain":      {1, (*ctlSession).drain},
}

// callName returns the one or two arguments that name a call.
func callName(args []string) []string {
	if len(args) > 1 && args[0] == "config" {
		return args[:2]
	}
	return args[:min(1, len(args))]
}
