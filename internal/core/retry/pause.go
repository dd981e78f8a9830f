package retry

import "time"

// The bounds of the pause before a retry.
const (
	minPause = 20 * time.Millisecond
	maxPause = 2 * time.Second
)

// Pause returns the wait before a retry: exponential in the attempt, which
// counts from 1, with full jitter. random is drawn from [0, 1).
func Pause(attempt int, random float64) time.Duration {
	ceiling := minPause
	for i := 1; i < attempt && ceiling < maxPause; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, maxPause)
	return time.Duration(random * float64(ceiling))
}
