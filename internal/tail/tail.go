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
	Next func() int64
	// Take gets each page, also one without records.
	Take func(port.Page)
	// Failed gets each error of the log.
	Failed func(error)
	// ReadWait is how long one read waits for new records.
	ReadWait time.Duration
	// RetryLeast and RetryMost bound the pause after a failed read.
	RetryLeast time.Duration
	RetryMost  time.Duration
}

// Run reads until ctx ends. The first read, and the first after an error, does
// not wait, so that a reader knows at once that a stream is empty.
func Run(ctx context.Context, p Params) {
	pause := NewBackoff(p.RetryLeast, p.RetryMost)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := p.Log.Read(ctx, p.Stream, p.Next(), wait)
		if err == nil {
			p.Take(page)
			pause.Reset()
			wait = p.ReadWait
			continue
		}
		if ctx.Err() == nil {
			p.Failed(err)
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
