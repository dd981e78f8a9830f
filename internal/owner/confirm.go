package owner

import (
	"context"
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
)

const (
	// staleAfter is how long ago the last whole read may have begun before a
	// look-up: on an idle stream one takes readWait, and the next is under way.
	staleAfter = 3 * readWait
	// confirmTimeout bounds the wait for the end of the stream.
	confirmTimeout = 2 * time.Second
	// confirmPause is the wait between two looks at the tailer's progress.
	confirmPause = 5 * time.Millisecond
)

// confirmed looks a program up by its ID or root key. A miss counts only once
// the state holds all that the log held when the look-up began, since a host
// that was paused, or cut off from the log, may lack what its successor wrote.
// unread is what the refusal says if the log can't be read.
func confirmed[T any](ctx context.Context, s *Service, id string, unread fault.Run, look func() (T, error)) (T, error) {
	t := s.streamOf(partition.RootKey(id))
	if t != nil && t.isStale() {
		// Known programs are served during an outage of the log as well, but
		// not by a host that may have a successor.
		if err := t.confirm(ctx); err != nil && t.isBlind() {
			var none T
			return none, unconfirmed(unread, err)
		}
	}
	result, err := look()
	if t == nil || !isUnknownProgram(err) {
		return result, err
	}
	if err := t.confirm(ctx); err != nil {
		return result, unconfirmed(unread, err)
	}
	return look()
}

func unconfirmed(run fault.Run, cause error) error {
	f := fault.New(fault.LogUnavailable, run, "the log can't be read to look the program up")
	return f.WithRetryAfter(retryAfter).WithCause(cause)
}

func isUnknownProgram(err error) bool {
	f, ok := fault.As(err)
	return ok && f.Type == fault.UnknownProgram
}

// streamOf returns the stream that carries a root key, or nil before the
// first configuration.
func (s *Service) streamOf(rootKey string) *stream {
	l := s.layout.Load()
	if l == nil {
		return nil
	}
	return l.parts[partition.OfKey(rootKey, uint32(len(l.parts)))].stream
}

// isStale says whether the last whole read is too old to rely on.
func (t *stream) isStale() bool {
	at := t.confirmed.Load()
	return at == nil || time.Since(*at) >= staleAfter
}

// confirm waits until the state holds all that the stream holds now.
func (t *stream) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	page, err := t.s.p.Log.Read(ctx, t.name, t.applied.Load(), 0)
	if err != nil {
		return err
	}
	for t.applied.Load() < page.End {
		if !sleep(ctx, confirmPause) {
			return ctx.Err()
		}
	}
	return nil
}
