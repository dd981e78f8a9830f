package retry

import "time"

// The bounds of the backoff before jitter.
const (
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
)

// Pause returns the wait before a retry, by exponential backoff with full jitter.
// attempt counts from 1, and random is in [0, 1).
func Pause(attempt int, random float64) time.Duration {
	ceiling := minPause
	for i := 1; i < attempt && ceiling < maxPause; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxPause)
	return time.Duration(random * float64(ceiling))
}
