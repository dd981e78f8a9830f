package settings_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"yuccausher/internal/settings"
)

func parse(t *testing.T, args ...string) (*settings.Serve, error) {
	t.Helper()
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	s := settings.NewServe(flags)
	known, unknown := settings.SplitUnknown(flags, args)
	is.New(t).NoErr(flags.Parse(known))
	return s, s.Resolve(unknown)
}

func TestSettingsDefaultToOtherSettings(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, "-listen", "127.0.0.1:1", "-peer-listen=127.0.0.1:2",
		"--data-centre", "salem", "-platform-url", "http://127.0.0.1:3/", "-memory-limit", "64MiB")
	is.NoErr(err)
	is.Equal(s.ClientAddress, "127.0.0.1:1")
	is.Equal(s.PeerAddress, "127.0.0.1:2")
	is.Equal(s.LogURL, "http://127.0.0.1:3")
	is.Equal(s.HostListURL, "http://127.0.0.1:3")
	is.Equal(s.MemoryLimit, int64(64<<20))
	is.Equal(s.WriteTimeout, 10*time.Second)
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("YUCCAUSHER_LOG_URL", "http://127.0.0.1:9")
	t.Setenv("YUCCAUSHER_DATA_CENTRE", "hartford")
	s, err := parse(t, "-data-centre", "salem", "-platform-url", "http://127.0.0.1:3")
	is.NoErr(err)
	is.Equal(s.DataCentre, "salem")
	is.Equal(s.LogURL, "http://127.0.0.1:9")
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	is := is.New(t)
	t.Setenv("YUCCAUSHER_WRITE_TIMEOUT", "soon")
	_, err := parse(t, "-listen", "localhost:1", "-colour", "red", "-memory-limit=lots",
		"-log-level", "loud", "-max-body", "1B", "-platform-url", "127.0.0.1:3", "more")
	var invalid *settings.InvalidSettingsError
	is.True(errors.As(err, &invalid))
	var names []string
	for _, w := range invalid.Settings {
		names = append(names, w.Name)
		is.True(w.Allowed != "")
	}
	is.Equal(names, []string{
		"-colour", "-listen", "-data-centre", "-platform-url", "-log-level", "-memory-limit", "-max-body", "-write-timeout", "more",
	})
	is.Equal(len(strings.Split(err.Error(), "\n")), 9)
}
