package origin

import (
	"sync"
	"time"
)

// outage remembers for a moment that the store has not answered, so that further lookups fail at
// once. It is safe for concurrent use.
type outage struct {
	mu    sync.Mutex
	at    time.Time
	cause error
}

// began records that the store has not answered.
func (o *outage) began(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at, o.cause = time.Now(), cause
}

// ended records that the store has answered.
func (o *outage) ended() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cause = nil
}

// current returns why the store did not answer, if that was within unavailableRetryAfter.
func (o *outage) current() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.at) >= unavailableRetryAfter {
		return nil
	}
	return o.cause
}
