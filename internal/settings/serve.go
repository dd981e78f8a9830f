package settings

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"yuccausher/internal/adapter/logging"
	"yuccausher/internal/owner"
)

// Serve holds the settings of one host.
type Serve struct {
	// Listen and PeerListen are where the host listens for callers and for
	// other hosts; ClientAddress and PeerAddress are where they reach it.
	Listen        string
	PeerListen    string
	ClientAddress string
	PeerAddress   string
	DataCentre    string
	PlatformURL   string
	LogURL        string
	HostListURL   string
	LogLevel      string
	// MemoryLimit is the soft memory limit of the process, in bytes; zero means
	// none.
	MemoryLimit int64
	// MaxRequests is the maximum number of callers' requests served concurrently.
	MaxRequests int64
	// MaxBody is the maximum size of the body of a caller's request, in bytes.
	MaxBody int64
	// MaxBodyTotal is the maximum total size of the bodies of all callers'
	// requests being served, in bytes.
	MaxBodyTotal  int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// DrainNotice is how long a leaving host continues to accept connections.
	DrainNotice time.Duration
	// DrainTimeout is the maximum duration of a planned stop.
	DrainTimeout time.Duration
	// LogRetention is how long the platform's log keeps records.
	LogRetention time.Duration
	// AppendRate is the maximum number of this host's appends to the log per
	// second.
	AppendRate int64
	// ProgramExpiry is how long the history of an ended program is kept.
	ProgramExpiry time.Duration

	group group
}

// The upper bounds of settings.
const (
	maxDuration = 24 * time.Hour
	maxSize     = 1 << 40
)

// NewServe defines the settings as flags.
func NewServe(flags *flag.FlagSet) *Serve {
	s := &Serve{group: group{flags: flags}}
	s.addAddresses()
	s.addLimits()
	s.addTimes()
	return s
}

func (s *Serve) addAddresses() {
	const address = "IP:PORT"
	const httpURL = "URL with http or https"
	g := &s.group
	g.add("listen", "127.0.0.1:8080", "where callers and operators connect", address, parseAddress(&s.Listen))
	g.add("peer-listen", "127.0.0.1:9080", "where other hosts connect", address, parseAddress(&s.PeerListen))
	g.add("client-address", "", "where callers reach this host, if not at -listen", address, optional(parseAddress(&s.ClientAddress)))
	g.add("peer-address", "", "where other hosts reach this host, if not at -peer-listen; it names the host", address, optional(parseAddress(&s.PeerAddress)))
	g.add("data-centre", "", "data centre of this host", "NAME, not empty", parseText(&s.DataCentre))
	g.add("platform-url", "", "where the platform's services are", httpURL, parseURL(&s.PlatformURL))
	g.add("log-url", "", "where the log service is, if not at -platform-url", httpURL, optional(parseURL(&s.LogURL)))
	g.add("host-list-url", "", "where the host list is, if not at -platform-url", httpURL, optional(parseURL(&s.HostListURL)))
}

func (s *Serve) addLimits() {
	g := &s.group
	g.add("log-level", "info", "how much this process logs", "LEVEL "+strings.Join(logging.Levels, ", "), parseOne(&s.LogLevel, logging.Levels))
	g.add("memory-limit", "0", "soft limit of this process's memory; 0 means none", "SIZE in bytes, KiB, MiB or GiB", parseSize(&s.MemoryLimit, 0, maxSize))
	g.add("max-requests", "4096", "callers' requests served at a time", "NUMBER from 1 to 1000000", parseNumber(&s.MaxRequests, 1, 1_000_000))
	g.add("max-body", "4MiB", "longest body of a caller's request", "SIZE from 1KiB to 12MiB", parseSize(&s.MaxBody, 1<<10, 12<<20))
	g.add("max-body-total", "256MiB", "bodies of all callers' requests being served", "SIZE from 1MiB to 64GiB", parseSize(&s.MaxBodyTotal, 1<<20, 64<<30))
	g.add("append-rate", strconv.Itoa(owner.DefaultAppendsPerSecond), "appends of this host to the log per second", "NUMBER from 1 to 10000", parseNumber(&s.AppendRate, 1, 10_000))
}

func (s *Serve) addTimes() {
	const short = "DURATION from 10ms to 10m"
	g := &s.group
	shortTime := func(d *time.Duration) func(string) bool {
		return parseDuration(d, 10*time.Millisecond, 10*time.Minute)
	}
	g.add("header-timeout", "5s", "time for a request's headers to arrive", short, shortTime(&s.HeaderTimeout))
	g.add("body-timeout", "20s", "time for a request's body to arrive", short, shortTime(&s.BodyTimeout))
	g.add("write-timeout", "10s", "time for one write to a caller", short, shortTime(&s.WriteTimeout))
	g.add("drain-notice", "1s", "time for which a leaving host still takes new connections", "DURATION from 0s to 10m", parseDuration(&s.DrainNotice, 0, 10*time.Minute))
	g.add("drain-timeout", "2m", "longest planned stop", short, shortTime(&s.DrainTimeout))
	g.add("log-retention", "1h", "how long the platform's log keeps records", "DURATION from 1m to 8760h", parseDuration(&s.LogRetention, time.Minute, 365*maxDuration))
	g.add("program-expiry", "1h", "how long an ended program stays readable", "DURATION from 1s to 8760h", parseDuration(&s.ProgramExpiry, time.Second, 365*maxDuration))
}

// Resolve reads the environment, parses all values and sets the defaults that
// depend on other settings. Its error is an *InvalidSettingsError.
func (s *Serve) Resolve(unknown []string) error {
	err := s.group.resolve(unknown)
	setDefault(&s.ClientAddress, s.Listen)
	setDefault(&s.PeerAddress, s.PeerListen)
	setDefault(&s.LogURL, s.PlatformURL)
	setDefault(&s.HostListURL, s.PlatformURL)
	return err
}

func setDefault(text *string, value string) {
	if *text == "" {
		*text = value
	}
}
