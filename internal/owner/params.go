// Package owner serves the programs of the partitions that this host owns. It
// claims partitions in the log and records the changes of their programs there. An
// effect becomes visible outside only once its record has been read back from the
// stream under the claim that it was written for.
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
	// Appender is used for appends instead of Log if it is set, for example to
	// append through another host that batches the records of several hosts.
	Appender  Appender
	Engine    port.Engine
	Service   port.Service
	Members   port.Members
	Scheduler port.Scheduler
	// Config may be empty when the Service starts; the Service then waits for the
	// first snapshot.
	Config  *config.Holder
	Metrics tally.Scope
	Logger  logr.Logger
	// OnQuarantine is called with each fingerprint that the log holds as poisoned.
	// It may be nil and must not block.
	OnQuarantine func(fingerprint uint64)
	Settings     Settings
}

// Settings are the durations and limits of a Service; zero values take defaults.
type Settings struct {
	// AppendsPerSecond limits the appends of this host to all streams together.
	AppendsPerSecond float64
	// AppendBurst is the number of appends that an idle host may make at once.
	AppendBurst int
	// AppendTimeout bounds one attempt to append.
	AppendTimeout time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// Expiry is how long an ended program can still be read.
	Expiry time.Duration
	// HoldDown is how long another host must be preferred before a partition
	// is released to it.
	HoldDown time.Duration
	// DrainTimeout bounds the wait for calls in flight at a release.
	DrainTimeout time.Duration
	// ClaimWait bounds how long a call waits for the confirmation of a claim.
	ClaimWait time.Duration
	// DispatchAllowance is how long after its intent was submitted to the log a
	// non-idempotent call may still be dispatched; it is also how long such a
	// call waits for the log.
	DispatchAllowance time.Duration
	// ClockAllowance is added to waits for another host's time limit, such as the
	// dispatch of an intent in doubt, to cover different clock rates of the hosts.
	ClockAllowance time.Duration
	// SliceLease is how long after the start of its last complete read of the log
	// an owner may use its escrow. The next owner waits as long before it
	// reconciles that escrow.
	SliceLease time.Duration
	// CallTimeout bounds calls that set no timeout.
	CallTimeout time.Duration
	// MaxEarlyCalls is how far ahead of a program's next seq a call may wait, and
	// how many calls of a program may wait.
	MaxEarlyCalls int64
	// SliceTokens is the size of a slice in tokens, unless the budget is small or
	// the calls are large.
	SliceTokens int64
}

const (
	// DefaultAppendsPerSecond is the default limit on the appends of one host to
	// the log, at any load.
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
