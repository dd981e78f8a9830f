package admission

import "time"

// entryGain is the weight of one entry in the mean interval.
const entryGain = 0.2

// Entries learns how often a new program gets its first call served while
// others wait for theirs. It is not safe for concurrent use.
type EntryRate struct {
	last     time.Time
	interval float64
}

// Served takes the first call of a new program being served. waiting is how
// many new programs still wait.
func (e *EntryRate) Served(now time.Time, waiting int) {
	sample := 0.0
	if waiting > 0 && !e.last.IsZero() {
		sample = now.Sub(e.last).Seconds()
	}
	e.interval += entryGain * (sample - e.interval)
	e.last = now
}

// Wait returns how long a new program has to expect to wait behind others.
func (e *EntryRate) Wait(now time.Time, waiting int) time.Duration {
	if waiting == 0 || e.last.IsZero() {
		return 0
	}
	interval := max(e.interval, now.Sub(e.last).Seconds())
	return time.Duration(interval * float64(waiting) * float64(time.Second))
}
