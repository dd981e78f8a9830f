// Package tail reads a log stream to its end and then follows it.
package tail

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"yuccausher/internal/port"
)

// Params say what to read and which functions receive the results.
type Params struct {
	Log    port.Log
	Stream string
	// NextOffset returns the offset to read from.
	NextOffset func() int64
	// OnPage receives each page, including those without records.
	OnPage func(port.Page)
	// OnError receives each error of the log, except after ctx has ended.
	OnError func(error)
	// ReadWait is how long one read waits for new records.
	ReadWait time.Duration
	// MinRetryDelay and MaxRetryDelay bound the pause after a failed read.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
}

// Run reads until ctx ends. The first read, and the first one after an error, returns
// at once, so that the reader learns immediately if the stream has no further
// records.
func Run(ctx context.Context, p Params) {
	delay := NewBackoff(p.MinRetryDelay, p.MaxRetryDelay)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := p.Log.Read(ctx, p.Stream, p.NextOffset(), wait)
		if err == nil {
			p.OnPage(page)
			delay.Reset()
			wait = p.ReadWait
			continue
		}
		if ctx.Err() == nil {
			p.OnError(err)
		}
		Sleep(ctx, delay.NextBackOff())
		wait = 0
	}
}

// NewBackoff returns an exponential backoff with jitter from minDelay up to maxDelay,
// before jitter.
func NewBackoff(minDelay, maxDelay time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minDelay
	b.MaxInterval = maxDelay
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
