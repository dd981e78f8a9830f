package fleet

import "time"

// Available returns the number of targets of a service that may get a request now.
func (f *Fleet) Available(service string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.available(Request{Service: service}, now))
}
