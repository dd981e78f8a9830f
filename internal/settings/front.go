package settings

import (
	"flag"
	"strings"

	"yuccausher/internal/adapter/logging"
)

// Front holds the settings of a host on the users' platform. What the platform
// itself tells stands in the file that PlatformFile names.
type Front struct {
	PlatformFile string
	LogLevel     string
	// MetricsPort is where metrics are served, at the host's IP address.
	MetricsPort int64
	// LogRate bounds the log lines per second.
	LogRate int64

	group group
}

// NewFront defines the settings on flags.
func NewFront(flags *flag.FlagSet) *Front {
	s := &Front{group: group{flags: flags}}
	g := &s.group
	g.add("config", "", "settings file of the platform", "PATH, not empty", takeText(&s.PlatformFile))
	g.add("log-level", "info", "how much this process logs", "LEVEL "+strings.Join(logging.Levels, ", "), takeOne(&s.LogLevel, logging.Levels))
	g.add("metrics-port", "9464", "port of the metrics at the host's address; 0 means none", "PORT from 0 to 65535", takeNumber(&s.MetricsPort, 0, 65535))
	g.add("log-rate", "400", "most log lines per second; further ones are counted and left out", "NUMBER from 1 to 100000", takeNumber(&s.LogRate, 1, 100_000))
	return s
}

// Finish reads the environment and takes all values. Its error is a
// *WrongError.
func (s *Front) Resolve(unknown []string) error { return s.group.finish(unknown) }
