// Package owner serves the programs of the partitions that this host owns. It
// claims partitions in the log, writes what happens to their programs, and
// releases an effect only once its record was seen in the stream under the
// claim it was written for.
package owner

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// Params holds what a Service needs. All interfaces must be set.
type Params struct {
	Log port.Log
	// Appender writes in place of the log if it is set, for example through
	// another host that gathers the records of many.
	Appender  Appender
	Engine    port.Engine
	Service   port.Service
	Members   port.Members
	Scheduler port.Scheduler
	// Config need not hold a snapshot yet when the Service starts.
	Config  *config.Holder
	Metrics tally.Scope
	Logger  logr.Logger
	// Quarantined is told each fingerprint that the log holds as poisoned.
	// It may be nil and must not block.
	OnQuarantine func(fingerprint uint64)
	Settings     Settings
}

// Settings are the times and bounds of a Service; zero values take defaults.
type Settings struct {
	// AppendsPerSecond bounds the appends of this host, all streams together.
	AppendsPerSecond float64
	// AppendBurst is how many appends an idle host may do at once.
	AppendBurst int
	// AppendTimeout bounds one attempt to append.
	AppendTimeout time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// Expiry is how long an ended program stays readable.
	Expiry time.Duration
	// HoldDown is how long another host must be preferred before a partition
	// is released to it.
	HoldDown time.Duration
	// DrainTimeout bounds the wait for calls in flight at a release.
	DrainTimeout time.Duration
	// ClaimWait bounds how long a call waits for a claim to be seen.
	ClaimWait time.Duration
	// DispatchAllowance is how long after its intent was handed to the log a
	// non-idempotent call may still be dispatched; it is also how long such a
	// call waits for the log.
	DispatchAllowance time.Duration
	// ClockAllowance covers the difference of two hosts' clock rates when an
	// intent in doubt is waited out.
	ClockAllowance time.Duration
	// SliceLease is how long after its last look at the log an owner may use
	// its escrow. A later owner waits as long before it reconciles it.
	SliceLease time.Duration
	// CallTimeout bounds calls that set no timeout.
	CallTimeout time.Duration
	// EarlyCalls is how far ahead of a program's next seq a call may wait.
	MaxEarlyCalls int64
	// SliceTokens is the escrow that is let out at once, unless the budget is
	// small or the calls are large.
	SliceTokens int64
}

const (
	// DefaultAppendsPerSecond bounds the appends of one host to the log, whatever
	// the load.
	DefaultAppendsPerSecond  = 20
	defaultAppendBurst       = 5
	defaultAppendTimeout     = 5 * time.Second
	defaultRetention         = time.Hour
	defaultExpiry            = time.Hour
	defaultHoldDown          = 3 * time.Second
	defaultDrainTimeout      = 20 * time.Second
	defaultClaimWait         = 5 * time.Second
	defaultDispatchAllowance = 2 * time.Second
	defaultClockAllowance    = 500 * time.Millisecond
	defaultSliceLease        = 5 * time.Second
	defaultCallTimeout       = 60 * time.Second
	defaultEarlyCalls        = 8
	defaultSliceTokens       = 8192
)

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// withDefaults returns the settings with each zero value replaced.
func (s Settings) withDefaults() Settings {
	orDefault(&s.AppendsPerSecond, DefaultAppendsPerSecond)
	orDefault(&s.AppendBurst, defaultAppendBurst)
	orDefault(&s.AppendTimeout, defaultAppendTimeout)
	orDefault(&s.Retention, defaultRetention)
	orDefault(&s.Expiry, defaultExpiry)
	orDefault(&s.HoldDown, defaultHoldDown)
	orDefault(&s.DrainTimeout, defaultDrainTimeout)
	orDefault(&s.ClaimWait, defaultClaimWait)
	orDefault(&s.DispatchAllowance, defaultDispatchAllowance)
	orDefault(&s.ClockAllowance, defaultClockAllowance)
	orDefault(&s.SliceLease, defaultSliceLease)
	orDefault(&s.CallTimeout, defaultCallTimeout)
	orDefault(&s.MaxEarlyCalls, defaultEarlyCalls)
	orDefault(&s.SliceTokens, defaultSliceTokens)
	return s
}
