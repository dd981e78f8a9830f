package settings

import (
	"flag"
	"strings"

	"yuccausher/internal/adapter/logging"
)

// Front holds the command-line settings of a host on the users' platform. The
// platform's own settings are in the file PlatformFile.
type Front struct {
	PlatformFile string
	LogLevel     string
	// MetricsPort is the port of the metrics endpoint at the host's IP address;
	// zero means none.
	MetricsPort int64
	// LogRate is the maximum number of log lines per second.
	LogRate int64

	group group
}

// NewFront defines the settings as flags.
func NewFront(flags *flag.FlagSet) *Front {
	s := &Front{group: group{flags: flags}}
	g := &s.group
	g.add("config", "", "settings file of the platform", "PATH, not empty", parseText(&s.PlatformFile))
	g.add("log-level", "info", "how much this process logs", "LEVEL "+strings.Join(logging.Levels, ", "), parseOne(&s.LogLevel, logging.Levels))
	g.add("metrics-port", "9464", "port of the metrics at the host's address; 0 means none", "PORT from 0 to 65535", parseNumber(&s.MetricsPort, 0, 65535))
	g.add("log-rate", "400", "most log lines per second; further ones are counted and left out", "NUMBER from 1 to 100000", parseNumber(&s.LogRate, 1, 100_000))
	return s
}

// Resolve reads the environment and parses all values. Its error is an
// *InvalidSettingsError.
func (s *Front) Resolve(unknown []string) error { return s.group.resolve(unknown) }
