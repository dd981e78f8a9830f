package spending

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yuccausher/internal/tail"
)

// reach is whether the shared log answers this host's reads of a partition. A
// log may be away in part.
type reach struct {
	log  logr.Logger
	part int
	// lost and returned are called when reads fail and when they succeed again.
	lost, returned func()
	// isNeeded says whether the host has to know of the return by itself. If not,
	// it probes as turns come.
	isNeeded func() bool
	wakeUp   chan struct{}

	mu sync.Mutex
	// awaySince is when a read has first failed after all before it succeeded;
	// zero while the log answers.
	awaySince time.Time
	// isSuspect says that the log is to be probed.
	isSuspect bool
}

func newReach(log logr.Logger, part int) *reach {
	return &reach{log: log, part: part, wakeUp: make(chan struct{}, 1)}
}

// isAway says whether the log does not even answer reads.
func (r *reach) isAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.awaySince.IsZero()
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

func (r *reach) wake() {
	select {
	case r.wakeUp <- struct{}{}:
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
		tail.Sleep(ctx, pause)
		pause = min(2*pause, maxRetry)
		if r.isNeeded() {
			r.wake()
		}
	}
}

func (r *reach) isProbeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isSuspect := r.isSuspect
	r.isSuspect = false
	return isSuspect || !r.awaySince.IsZero()
}
