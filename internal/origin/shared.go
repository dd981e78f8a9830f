package origin

import (
	"context"
	"sync"
	"time"
)

// readTimeout limits a read that several lookups share.
const readTimeout = 700 * time.Millisecond

// shared makes concurrent callers share reads. A caller never gets the result of a read that
// began before its call.
type shared[T any] struct {
	read func(context.Context) (T, error)

	mu sync.Mutex
	// next is the read that callers of now wait for; isReading is set while an earlier one
	// runs.
	next      *sharedRead[T]
	isReading bool
}

type sharedRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// get returns the result of a read that begins after the call.
func (s *shared[T]) get(ctx context.Context) (T, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRead[T]{done: make(chan struct{})}
	}
	r := s.next
	if !s.isReading {
		s.isReading = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run reads as long as callers wait.
func (s *shared[T]) run() {
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		s.isReading = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		r.value, r.err = s.read(ctx)
		cancel()
		close(r.done)
	}
}
