package spending

import (
	"sync"
	"time"
)

// pauseThreshold is the pause of the process after which it may have missed notes:
// other hosts give up sending one sooner.
const pauseThreshold = time.Second

// pauseDetector detects that the process did not run for some time because its
// machine was suspended or it got no CPU time.
type pauseDetector struct {
	mu       sync.Mutex
	lastTick time.Time
}

// tick is called at short intervals. It reports whether the process was paused since
// the previous call.
func (p *pauseDetector) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.isPausedLocked(now)
	p.lastTick = now
	return paused
}

// isPaused reports whether the process was paused since the latest tick.
func (p *pauseDetector) isPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPausedLocked(now)
}

// isPausedLocked compares both clocks, since the monotonic one may not advance while
// a machine is suspended. The caller holds p.mu.
func (p *pauseDetector) isPausedLocked(now time.Time) bool {
	if p.lastTick.IsZero() {
		return false
	}
	return max(now.Sub(p.lastTick), now.Round(0).Sub(p.lastTick.Round(0))) > pauseThreshold
}
