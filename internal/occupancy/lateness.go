package occupancy

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lateInterval is the time between two measurements of how late the host's timers are. It
	// is below the time of most streams.
	lateInterval = 500 * time.Millisecond
	// lateDecay is the factor of an earlier lateness per measurement: a host that was late
	// counts as late for about a second.
	lateDecay = 0.25
)

// lateness measures how late the process's timers fire: a host without enough processor sees
// events of targets late by about as much.
type lateness struct{ recent atomic.Int64 }

// Recent returns by how much timers were late in the last second or so.
func (l *lateness) Recent() time.Duration { return time.Duration(l.recent.Load()) }

// run measures until ctx ends.
func (l *lateness) run(ctx context.Context) {
	timer := time.NewTimer(lateInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lateInterval)
		timer.Reset(lateInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			earlier := time.Duration(lateDecay * float64(l.Recent()))
			l.recent.Store(int64(max(time.Since(due), earlier)))
		}
	}
}
