package retry

import "time"

const (
	// smoothing is the weight of one duration in the mean, deviationFactor the number
	// of mean deviations above it that the timeout allows.
	smoothing       = 0.125
	deviationFactor = 4
)

// Timeout estimates how long an operation may take before it counts as failed, from the
// durations of those that succeeded. Each timeout in a row doubles it: if no operation
// ends in time, all of them have become slow. It is not safe for concurrent use.
type Timeout struct {
	// Min and Max bound the timeout. It is Max until an operation has succeeded.
	Min, Max time.Duration

	mean, deviation time.Duration
	expired         int
}

// Limit returns the timeout of the next operation.
func (t *Timeout) Limit() time.Duration {
	if t.mean == 0 {
		return t.Max
	}
	limit := max(t.mean+deviationFactor*t.deviation, t.Min)
	return min(limit<<min(t.expired, 16), t.Max)
}

// Succeeded records an operation that took a duration.
func (t *Timeout) Succeeded(took time.Duration) {
	t.expired = 0
	if t.mean == 0 {
		t.mean, t.deviation = max(took, 1), took/2
		return
	}
	t.deviation += time.Duration(smoothing * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(smoothing * float64(took-t.mean))
}

// Expired records an operation that has exceeded its timeout.
func (t *Timeout) Expired() { t.expired++ }
