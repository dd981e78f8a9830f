package owner

import (
	"context"
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
)

const (
	// staleAfter is the maximum age of the last complete read at a lookup. On an
	// idle stream a read takes readWait, and the next one is already in progress.
	staleAfter = 3 * readWait
	// catchUpTimeout bounds the wait until the state has reached the end of the
	// stream.
	catchUpTimeout = 2 * time.Second
	// catchUpPollInterval is the interval at which the tailer's progress is
	// polled.
	catchUpPollInterval = 5 * time.Millisecond
)

// lookUp calls lookup for a program ID or root key. An unknown program is reported
// only once the state holds all records that were in the log when lookUp was
// called, since a host that was paused or had no connection to the log may lack
// its successor's records. runIfUnreadable is the run of the refusal if the log
// cannot be read.
func lookUp[T any](ctx context.Context, s *Service, id string, runIfUnreadable fault.Run, lookup func() (T, error)) (T, error) {
	t := s.streamOf(partition.RootKey(id))
	if t != nil && t.isStale() {
		// Known programs are also served during an outage of the log, unless
		// this host may have a successor.
		if err := t.awaitCaughtUp(ctx); err != nil && t.mayHaveSuccessor() {
			var none T
			return none, lookupUnavailable(runIfUnreadable, err)
		}
	}
	result, err := lookup()
	if t == nil || !isUnknownProgram(err) {
		return result, err
	}
	if err := t.awaitCaughtUp(ctx); err != nil {
		return result, lookupUnavailable(runIfUnreadable, err)
	}
	return lookup()
}

func lookupUnavailable(run fault.Run, cause error) error {
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
	return l.partitions[partition.OfKey(rootKey, uint32(len(l.partitions)))].stream
}

// isStale reports whether the last complete read is older than staleAfter.
func (t *stream) isStale() bool {
	at := t.lastCompleteRead.Load()
	return at == nil || time.Since(*at) >= staleAfter
}

// awaitCaughtUp waits until the state holds all records that the stream holds now.
// It returns the error of the read or of the context.
func (t *stream) awaitCaughtUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	page, err := t.service.params.Log.Read(ctx, t.name, t.applied.Load(), 0)
	if err != nil {
		return err
	}
	for t.applied.Load() < page.End {
		if !sleep(ctx, catchUpPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
