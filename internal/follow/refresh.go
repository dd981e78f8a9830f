package follow

import (
	"context"
	"sync"
	"time"
)

// refresher lets callers wait for a read that begins after their call.
type refresher struct {
	wake chan struct{}

	mu sync.Mutex
	// next is closed after the next read; nil if nobody waits for it.
	next *refresh
}

type refresh struct {
	done chan struct{}
	err  error
}

func newRefresher() *refresher { return &refresher{wake: make(chan struct{}, 1)} }

// wait makes the tail read at once and returns the error of that read.
func (r *refresher) wait(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &refresh{done: make(chan struct{})}
	}
	next := r.next
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default: // the tail will wake already
	}
	select {
	case <-next.done:
		return next.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin returns a function that tells those who wait for a read that begins now how it ended.
func (r *refresher) begin() (end func(error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next = nil
	return func(err error) {
		if current != nil {
			current.err = err
			close(current.done)
		}
	}
}

// sleep waits for d with a jitter, or until somebody waits for a read.
func (r *refresher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(jittered(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}
