// Package tail reads a log stream to its end and goes on reading.
package tail

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"yuccausher/internal/port"
)

// Params say what to read and who takes it.
type Params struct {
	Log    port.Log
	Stream string
	// Next returns the offset to read from.
	NextOffset func() int64
	// Take gets each page, also one without records.
	OnPage func(port.Page)
	// Failed gets each error of the log.
	OnError func(error)
	// ReadWait is how long one read waits for new records.
	ReadWait time.Duration
	// RetryLeast and RetryMost bound the pause after a failed read.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
}

// Run reads until ctx ends. The first read, and the first after an error, does
// not wait, so that a reader knows at once that a stream is empty.
func Run(ctx context.Context, p Params) {
	pause := NewBackoff(p.MinRetryDelay, p.MaxRetryDelay)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := p.Log.Read(ctx, p.Stream, p.NextOffset(), wait)
		if err == nil {
			p.OnPage(page)
			pause.Reset()
			wait = p.ReadWait
			continue
		}
		if ctx.Err() == nil {
			p.OnError(err)
		}
		Sleep(ctx, pause.NextBackOff())
		wait = 0
	}
}

// NewBackoff returns growing pauses with jitter, between two bounds.
func NewBackoff(least, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = least
	b.MaxInterval = most
	b.Reset()
	return b
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
