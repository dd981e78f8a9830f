package spending

import (
	"sync"
	"time"
)

// pauseTime is how long the process must have stood still to have missed what other
// hosts told it: their notes are given up sooner.
const pauseThreshold = time.Second

// pauses notices that the process stood still: its machine was suspended, or it got
// no processor.
type pauseDetector struct {
	mu       sync.Mutex
	lastTick time.Time
}

// beat is called often. It says whether the process has stood still since the last
// time.
func (p *pauseDetector) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.isPausedLocked(now)
	p.lastTick = now
	return paused
}

// hasStood says whether the process has stood still since the last beat.
func (p *pauseDetector) isPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPausedLocked(now)
}

// isPaused looks at both clocks: the monotonic one stands still with a suspended
// machine.
func (p *pauseDetector) isPausedLocked(now time.Time) bool {
	if p.lastTick.IsZero() {
		return false
	}
	return max(now.Sub(p.lastTick), now.Round(0).Sub(p.lastTick.Round(0))) > pauseThreshold
}
