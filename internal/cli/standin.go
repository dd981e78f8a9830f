package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

const loopback = "127.0.0.1"

// standinCommand runs the stand-ins of the platform and the targets.
type standinCommand struct {
	port  int
	hosts hostFlag
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run stand-ins of the platform and the targets"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin -port PORT -host DC=IP:PEERPORT ...

Runs the log, the host list, model engines and services in one process at
127.0.0.1:PORT, with a control to set faults, until SIGTERM. Start a host with
  serve -listen IP:PORT -peer-listen IP:PEERPORT -data-centre DC -platform-url http://127.0.0.1:PORT

`
}

// SetFlags implements subcommands.Command.
func (s *standinCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&s.port, "port", 0, "`port` to serve at; required")
	f.Var(&s.hosts, "host", "a host to list, as `DC=IP:PEERPORT`; may be repeated")
}

// Execute implements subcommands.Command.
func (s *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkPort("port", s.port, 1); err != nil || f.NArg() > 0 {
		return usageError(f, err)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	address := net.JoinHostPort(loopback, strconv.Itoa(s.port))
	listening, err := standin.Listen(ctx, standin.NewPlatform(s.hosts), address, logr.Discard())
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return subcommands.ExitFailure
	}
	defer listening.Close()
	fmt.Println("standin is ready at", listening.Base)
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// hostFlag collects hosts given as DC=IP:PEERPORT.
type hostFlag []port.ListedHost

// String implements flag.Value.
func (h *hostFlag) String() string {
	var parts []string
	for _, host := range *h {
		parts = append(parts, host.DataCentre+"="+host.ID)
	}
	return strings.Join(parts, " ")
}

// Set implements flag.Value.
func (h *hostFlag) Set(text string) error {
	centre, address, ok := strings.Cut(text, "=")
	if !ok || centre == "" {
		return &flagError{Name: "host", Allowed: "DC=IP:PEERPORT"}
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &flagError{Name: "host", Allowed: "DC=IP:PEERPORT with an IP number"}
	}
	*h = append(*h, port.ListedHost{ID: address, DataCentre: centre})
	return nil
}

// flagError reports an invalid flag value.
type flagError struct {
	Name    string
	Allowed string
}

// Error implements error.
func (e *flagError) Error() string { return "-" + e.Name + " must be " + e.Allowed }

const maxPort = 65535

// checkPort returns an error unless count ports from first on are valid.
func checkPort(name string, first, count int) error {
	if first < 1 || first+count-1 > maxPort {
		return &flagError{Name: name, Allowed: fmt.Sprintf("a port from 1 to %d", maxPort-count+1)}
	}
	return nil
}

// usageError prints err and the usage. A nil err means unexpected arguments.
func usageError(f *flag.FlagSet, err error) subcommands.ExitStatus {
	if err == nil {
		err = &flagError{Name: f.Arg(0), Allowed: "left out: the command takes no arguments"}
	}
	fmt.Fprintln(f.Output(), err)
	f.Usage()
	return subcommands.ExitUsageError
}
