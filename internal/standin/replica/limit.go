package replica

import (
	"slices"
	"time"
)

// NameLimit makes the replica name a rate limit in its answers; none if it is empty.
func (r *Replica) NameLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

// Arrivals returns when requests arrived, those that the replica refused as well.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// arrive records the arrival of a request and returns the limit that its answer names.
func (r *Replica) arrive() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
	return r.limit
}
