package cli

import (
	"flag"
	"io"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"yuccausher/internal/port"
)

func TestHostFlag(t *testing.T) {
	is := is.New(t)
	var hosts hostFlag
	is.NoErr(hosts.Set("concord=127.0.0.1:7001"))
	is.NoErr(hosts.Set("salem=[::1]:7002"))
	is.Equal(hosts, hostFlag{{ID: "127.0.0.1:7001", DataCentre: "concord"}, {ID: "[::1]:7002", DataCentre: "salem"}})
	is.Equal(hosts.String(), "concord=127.0.0.1:7001 salem=[::1]:7002")
	for _, wrong := range []string{"", "concord", "=127.0.0.1:1", "concord=localhost:1", "concord=127.0.0.1", "concord=127.0.0.1:70000"} {
		is.True(hosts.Set(wrong) != nil)
	}
	is.Equal([]port.ListedHost(hosts)[0].DataCentre, "concord")
}

func TestStandinRefusesInvalidFlags(t *testing.T) {
	for _, args := range [][]string{{}, {"-port", "0"}, {"-port", "70000"}, {"-port", "7000", "more"}} {
		is := is.New(t)
		command := &standinCommand{}
		f := flag.NewFlagSet("standin", flag.ContinueOnError)
		f.SetOutput(io.Discard)
		command.SetFlags(f)
		is.NoErr(f.Parse(args))
		is.Equal(command.Execute(t.Context(), f), subcommands.ExitUsageError)
	}
}
