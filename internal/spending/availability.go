package spending

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// followerRetry is the pause between probes of a partition while all are away
// and another one is probed more often. Calls are priced also while the store
// does not answer them.
const delegatedRetry = 4 * time.Second

// reach is whether the shared log answers this host's reads of a partition. A
// log may be away in part.
type availability struct {
	log  logr.Logger
	part int
	// answered is called when the log answers, late when a read takes long, lost and
	// returned when reads fail and when they succeed again.
	onAnswer, onSlowRead, onUnavailable, onRecovered func()
	// isFollower says that another partition, which is away as well, is probed
	// for this one.
	isProbeDelegated func() bool
	// isNeeded says whether the host has to know of the return by itself. If not,
	// it probes as turns come.
	mustDetectRecovery func() bool
	probesDue          chan struct{}
	// hurry ends the pause after a probe.
	skipPause chan struct{}

	mu sync.Mutex
	// awaySince is when a read has first failed after all before it succeeded;
	// zero while the log answers.
	unavailableSince time.Time
	// isSuspect says that the log is to be probed.
	isSuspected bool
}

func newAvailability(log logr.Logger, part int) *availability {
	return &availability{log: log, part: part, probesDue: make(chan struct{}, 1), skipPause: make(chan struct{}, 1)}
}

// isAway says whether the log does not even answer reads.
func (r *availability) isUnavailable() bool { return !r.since().IsZero() }

// since returns since when the log is away; zero while it answers.
func (r *availability) since() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailableSince
}

// presume takes the log for away until it is read, as its other partitions are.
func (r *availability) assumeUnavailable() {
	r.mu.Lock()
	r.unavailableSince = time.Now()
	r.mu.Unlock()
	r.signalProbe()
}

// suspect makes the host probe the log, so that it knows of an outage before
// turns meet it.
func (r *availability) suspect() {
	r.mu.Lock()
	r.isSuspected = true
	r.mu.Unlock()
	r.signalProbe()
}

func (r *availability) signalProbe() { signal(r.probesDue) }

// ask makes the host probe the partition because a turn needs it, unless another
// partition is probed for it.
func (r *availability) probeOnDemand() {
	if !r.isProbeDelegated() {
		r.signalProbe()
	}
}

// hasten makes the host probe the partition now, if it is away.
func (r *availability) probeNow() {
	if r.isUnavailable() {
		signal(r.skipPause)
		r.signalProbe()
	}
}

// signal leaves a signal unless there is one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// observe takes what came of a read.
func (r *availability) observe(err error) {
	r.mu.Lock()
	since := r.unavailableSince
	switch {
	case err == nil:
		r.unavailableSince = time.Time{}
	case since.IsZero():
		r.unavailableSince = time.Now()
	}
	r.mu.Unlock()
	if err == nil {
		r.onAnswer()
	}
	switch {
	case err == nil && !since.IsZero():
		r.log.Info("Shared log answers again.", "partition", r.part, "away", time.Since(since).String())
		r.onRecovered()
	case err != nil && since.IsZero():
		r.log.Info("Shared log is away.", "partition", r.part, "cause", err.Error())
		r.signalProbe()
		r.onUnavailable()
	}
}

// watch probes the log while it is away or suspected to be.
func (r *availability) runProbes(ctx context.Context, probe func(context.Context) error) {
	pause := firstRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.probesDue:
		}
		if !r.takeProbeRequest() {
			continue
		}
		// An error is observed with the read.
		if probe(ctx) == nil {
			pause = firstRetry
			continue
		}
		r.pauseAfterFailure(ctx, pause)
		pause = min(2*pause, maxRetry)
		if r.mustDetectRecovery() {
			r.signalProbe()
		}
	}
}

// rest waits after a probe that failed.
func (r *availability) pauseAfterFailure(ctx context.Context, pause time.Duration) {
	if r.isProbeDelegated() {
		pause = delegatedRetry
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.skipPause:
	case <-ctx.Done():
	}
}

func (r *availability) takeProbeRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isSuspect := r.isSuspected
	r.isSuspected = false
	return isSuspect || !r.unavailableSince.IsZero()
}
