package spending

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"yuccausher/internal/tail"
)

// reach is whether the shared log answers this host's reads.
type reach struct {
	log logr.Logger
	// returned is called when the log answers again.
	returned func()
	wakeUp   chan struct{}

	mu sync.Mutex
	// awaySince is when a read has first failed after all before it succeeded;
	// zero while the log answers.
	awaySince time.Time
	// isSuspect says that the log is to be probed.
	isSuspect bool
}

func newReach(log logr.Logger, returned func()) *reach {
	return &reach{log: log, returned: returned, wakeUp: make(chan struct{}, 1)}
}

// isAway says whether the log does not even answer reads.
func (r *reach) isAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.awaySince.IsZero()
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
func (r *reach) observe(part int, err error) {
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
		r.log.Info("Shared log answers again.", "partition", part, "away", time.Since(since).String())
		r.returned()
	case err != nil && since.IsZero():
		r.log.Info("Shared log is away.", "partition", part, "cause", err.Error())
		r.wake()
	}
}

// watch probes the log while it is away or suspected to be.
func (r *reach) watch(ctx context.Context, probe func(context.Context) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeUp:
		}
		pause := firstRetry
		for ctx.Err() == nil && r.isProbeDue() {
			if probe(ctx) != nil {
				// The error was observed with the read.
				tail.Sleep(ctx, pause)
				pause = min(2*pause, maxRetry)
			}
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
