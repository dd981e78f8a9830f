package admission

import "time"

// intervalGain is the weight of one sample in the mean interval.
const intervalGain = 0.2

// EntryRate estimates how often the first call of a new program is served while
// others wait for theirs. It is not safe for concurrent use.
type EntryRate struct {
	last     time.Time
	interval float64
}

// Served records that the first call of a new program is served. waiting is how many
// new programs still wait.
func (e *EntryRate) Served(now time.Time, waiting int) {
	sample := 0.0
	if waiting > 0 && !e.last.IsZero() {
		sample = now.Sub(e.last).Seconds()
	}
	e.interval += intervalGain * (sample - e.interval)
	e.last = now
}

// Wait returns the expected wait of a new program behind waiting others, or zero if
// none was served yet.
func (e *EntryRate) Wait(now time.Time, waiting int) time.Duration {
	if waiting == 0 || e.last.IsZero() {
		return 0
	}
	interval := max(e.interval, now.Sub(e.last).Seconds())
	return time.Duration(interval * float64(waiting) * float64(time.Second))
}
