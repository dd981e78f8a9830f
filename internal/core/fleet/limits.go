package fleet

import (
	"yuccausher/internal/core/ratelimit"
)

// ObserveLimit records what an answer of a run of a target states about its rate limit. It
// returns true if the limit in force has changed.
func (f *Fleet) ObserveLimit(m Member, s ratelimit.Statement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[m.ID]
	return t != nil && t.isSameRun(m) && t.limit.Observe(s)
}
