package testutil

import "time"

// MostWithin returns the highest number of times, which are in order, within a window.
func MostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
