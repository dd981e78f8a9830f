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
const followerRetry = 4 * time.Second

// reach is whether the shared log answers this host's reads of a partition. A
// log may be away in part.
type reach struct {
	log  logr.Logger
	part int
	// answered is called when the log answers, late when a read takes long, lost and
	// returned when reads fail and when they succeed again.
	answered, late, lost, returned func()
	// isFollower says that another partition, which is away as well, is probed
	// for this one.
	isFollower func() bool
	// isNeeded says whether the host has to know of the return by itself. If not,
	// it probes as turns come.
	isNeeded func() bool
	wakeUp   chan struct{}
	// hurry ends the pause after a probe.
	hurry chan struct{}

	mu sync.Mutex
	// awaySince is when a read has first failed after all before it succeeded;
	// zero while the log answers.
	awaySince time.Time
	// isSuspect says that the log is to be probed.
	isSuspect bool
}

func newReach(log logr.Logger, part int) *reach {
	return &reach{log: log, part: part, wakeUp: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
}

// isAway says whether the log does not even answer reads.
func (r *reach) isAway() bool { return !r.since().IsZero() }

// since returns since when the log is away; zero while it answers.
func (r *reach) since() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaySince
}

// presume takes the log for away until it is read, as its other partitions are.
func (r *reach) presume() {
	r.mu.Lock()
	r.awaySince = time.Now()
	r.mu.Unlock()
	r.wake()
}

// suspect makes the host probe the log, so that it knows of an outage before
// turns meet it.
func (r *reach) suspect() {
	r.mu.Lock()
	r.isSuspect = true
	r.mu.Unlock()
	r.wake()
}

func (r *reach) wake() { signal(r.wakeUp) }

// ask makes the host probe the partition because a turn needs it, unless another
// partition is probed for it.
func (r *reach) ask() {
	if !r.isFollower() {
		r.wake()
	}
}

// hasten makes the host probe the partition now, if it is away.
func (r *reach) hasten() {
	if r.isAway() {
		signal(r.hurry)
		r.wake()
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
func (r *reach) observe(err error) {
	r.mu.Lock()
	since := r.awaySince
	switch {
	case err == nil:
		r.awaySince = time.Time{}
	case since.IsZero():
		r.awaySince = time.Now()
	}
	r.mu.Unlock()
	if err == nil {
		r.answered()
	}
	switch {
	case err == nil && !since.IsZero():
		r.log.Info("Shared log answers again.", "partition", r.part, "away", time.Since(since).String())
		r.returned()
	case err != nil && since.IsZero():
		r.log.Info("Shared log is away.", "partition", r.part, "cause", err.Error())
		r.wake()
		r.lost()
	}
}

// watch probes the log while it is away or suspected to be.
func (r *reach) watch(ctx context.Context, probe func(context.Context) error) {
	pause := firstRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeUp:
		}
		if !r.isProbeDue() {
			continue
		}
		// An error is observed with the read.
		if probe(ctx) == nil {
			pause = firstRetry
			continue
		}
		r.rest(ctx, pause)
		pause = min(2*pause, maxRetry)
		if r.isNeeded() {
			r.wake()
		}
	}
}

// rest waits after a probe that failed.
func (r *reach) rest(ctx context.Context, pause time.Duration) {
	if r.isFollower() {
		pause = followerRetry
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.hurry:
	case <-ctx.Done():
	}
}

func (r *reach) isProbeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isSuspect := r.isSuspect
	r.isSuspect = false
	return isSuspect || !r.awaySince.IsZero()
}
