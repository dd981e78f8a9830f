package spending

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"yuccausher/internal/port"
)

// delegatedRetry is the pause between probes of a partition while another unavailable
// partition is probed more often. Calls to the store are billed even if it does not
// answer them.
const delegatedRetry = 4 * time.Second

// availability tracks whether the shared log answers this host's reads of one
// partition. The log may be unavailable for some partitions only.
type availability struct {
	log  logr.Logger
	part int
	// onAnswer is called when the log answers, onSlowRead when a read takes longer
	// than slowReadThreshold, onUnavailable when reads begin to fail and onRecovered
	// when they succeed again.
	onAnswer, onSlowRead, onUnavailable, onRecovered func()
	// hasAnsweredSince reports whether the log has answered any call of this host since
	// a time.
	hasAnsweredSince func(time.Time) bool
	// isProbeDelegated reports whether another unavailable partition is probed on
	// behalf of this one.
	isProbeDelegated func() bool
	// mustDetectRecovery reports whether the host has to detect the recovery by
	// probing continuously. If not, it probes only when turns need the partition.
	mustDetectRecovery func() bool
	probesDue          chan struct{}
	// skipPause ends the pause after a failed probe.
	skipPause chan struct{}
	// isPauseDelegated is set during a pause of delegatedRetry.
	isPauseDelegated atomic.Bool

	mu sync.Mutex
	// unavailableSince is when reads began to fail; zero while the log answers.
	unavailableSince time.Time
	// failedAt is when a read last failed.
	failedAt time.Time
	// isSuspected requests a probe although no read has failed.
	isSuspected bool
}

func newAvailability(log logr.Logger, part int) *availability {
	return &availability{log: log, part: part, probesDue: make(chan struct{}, 1), skipPause: make(chan struct{}, 1)}
}

// isUnavailable reports whether the log does not answer reads.
func (a *availability) isUnavailable() bool { return !a.since().IsZero() }

// since returns when the log became unavailable; zero while it answers.
func (a *availability) since() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unavailableSince
}

// isOutdated reports whether the log has answered this host since a read of the partition last failed,
// and the partition has not been probed since.
func (a *availability) isOutdated() bool {
	a.mu.Lock()
	since, at := a.unavailableSince, a.unavailableSince
	if a.failedAt.After(at) {
		at = a.failedAt
	}
	a.mu.Unlock()
	return !since.IsZero() && time.Since(at) > maxRetry && a.hasAnsweredSince(at)
}

// assumeUnavailable marks the log as unavailable until it is read, because other
// partitions are unavailable.
func (a *availability) assumeUnavailable() {
	a.mu.Lock()
	a.unavailableSince = time.Now()
	a.mu.Unlock()
	a.signalProbe()
}

// suspect requests a probe, so that the host detects an outage before turns run into
// it.
func (a *availability) suspect() {
	a.mu.Lock()
	a.isSuspected = true
	a.mu.Unlock()
	a.signalProbe()
}

func (a *availability) signalProbe() { signal(a.probesDue) }

// probeOnDemand requests a probe because a turn needs the partition. It does nothing
// if the probing is delegated to another partition. If it was, and the log has answered since, it
// ends the long pause.
func (a *availability) probeOnDemand() {
	if a.isProbeDelegated() {
		return
	}
	if a.isPauseDelegated.Load() {
		signal(a.skipPause)
	}
	a.signalProbe()
}

// probeNow probes the partition without a further pause if it is unavailable.
func (a *availability) probeNow() {
	if a.isUnavailable() {
		signal(a.skipPause)
		a.signalProbe()
	}
}

// signal sends without blocking. A signal that is already pending covers the new one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// throttledTolerance is how long after its last answer a log that makes this host call less often
// still counts as available.
const throttledTolerance = time.Second

// observe records the result of a read and calls the callbacks. A log that is called too often is
// not unavailable: to take it for that, and to probe it more often, would keep it overloaded.
func (a *availability) observe(err error) {
	if port.IsThrottled(err) && a.hasAnsweredSince(time.Now().Add(-throttledTolerance)) {
		return
	}
	a.mu.Lock()
	since := a.unavailableSince
	switch {
	case err == nil:
		a.unavailableSince = time.Time{}
	case since.IsZero():
		a.unavailableSince = time.Now()
	}
	if err != nil {
		a.failedAt = time.Now()
	}
	a.mu.Unlock()
	if err == nil {
		a.onAnswer()
	}
	switch {
	case err == nil && !since.IsZero():
		a.log.Info("Shared log is available again.", "partition", a.part, "away", time.Since(since).String())
		a.onRecovered()
	case err != nil && since.IsZero():
		a.log.Info("Shared log is unavailable.", "partition", a.part, "cause", err.Error())
		a.signalProbe()
		a.onUnavailable()
	}
}

// runProbes probes the log while it is unavailable or suspected to be, until ctx
// ends.
func (a *availability) runProbes(ctx context.Context, probe func(context.Context) error) {
	pause := firstRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.probesDue:
		}
		if !a.takeProbeRequest() {
			continue
		}
		// The read passes its error to observe.
		if probe(ctx) == nil {
			pause = firstRetry
			continue
		}
		a.pauseAfterFailure(ctx, pause)
		pause = min(2*pause, maxRetry)
		if a.mustDetectRecovery() {
			a.signalProbe()
		}
	}
}

// pauseAfterFailure waits after a failed probe.
func (a *availability) pauseAfterFailure(ctx context.Context, pause time.Duration) {
	if a.isProbeDelegated() {
		pause = delegatedRetry
		a.isPauseDelegated.Store(true)
		defer a.isPauseDelegated.Store(false)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.skipPause:
	case <-ctx.Done():
	}
}

// takeProbeRequest reports whether a probe is due, and clears the suspicion.
func (a *availability) takeProbeRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isSuspect := a.isSuspected
	a.isSuspected = false
	return isSuspect || !a.unavailableSince.IsZero()
}
