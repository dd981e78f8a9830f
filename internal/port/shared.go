package port

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// KeyedRecord is the newest record of a key in a keyed stream. A record without a
// value says that the key was removed.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// RawPage is the result of one read of a partition.
type RawPage struct {
	// Records are the contents of the records from the requested offset on.
	Records [][]byte
	// Oldest is the offset of the oldest retained record, End the offset of the next
	// append.
	Oldest int64
	End    int64
}

// SharedLog is the platform's partitioned log, which all hosts share. Its calls are
// linearizable. Every error is a *SharedLogError.
type SharedLog interface {
	// Append appends all records to a partition, or none, and returns the offset of
	// the first.
	Append(ctx context.Context, p Partition, records [][]byte) (int64, error)
	// Read returns the records of a partition within a range.
	Read(ctx context.Context, p Partition, r Range) (RawPage, error)
	// Newest returns the newest record of each key, and the end offset of the
	// partition as it was before the first of them was read.
	Newest(ctx context.Context, p Partition) ([]KeyedRecord, int64, error)
	// Trim deletes the records of a partition before an offset.
	Trim(ctx context.Context, p Partition, before int64) error
}

// Range selects the records that a read returns.
type Range struct {
	// From is the offset of the first record.
	From int64
	// MaxBytes bounds the size of the records, of which at least one is returned.
	// With zero, the log decides.
	MaxBytes int
	// Wait is how long the log may wait for a record if it has none at From.
	Wait time.Duration
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// SharedLogFailure is the kind of a failure of the shared log.
type SharedLogFailure int

// The failures of the shared log.
const (
	// LogUnreachable calls were not answered. An append may have taken effect or may
	// do so later.
	LogUnreachable SharedLogFailure = iota
	// LogRefused calls had no effect and may be retried.
	LogRefused
	// LogTrimmed reads asked for records that are no longer retained.
	LogTrimmed
	// LogInvalid answers could not be decoded.
	LogInvalid
	// LogThrottled calls had no effect: the log, or this host itself, makes hosts call it less
	// often. The log may be available all the same.
	LogThrottled
)

// String names the failure.
func (f SharedLogFailure) String() string {
	return [...]string{"unreachable", "refused", "trimmed", "invalid", "throttled"}[f]
}

// SharedLogError is a failure of the shared log.
type SharedLogError struct {
	Op        string
	Partition Partition
	Failure   SharedLogFailure
	// Status is the HTTP status of the answer, or zero without an answer.
	Status int
	// Oldest is the oldest retained offset. It is set for LogTrimmed only.
	Oldest int64
	Cause  error
}

// Error implements error.
func (e *SharedLogError) Error() string {
	s := fmt.Sprintf("shared log: %s of %s/%d: %s", e.Op, e.Partition.Topic, e.Partition.Part, e.Failure)
	if e.Status != 0 {
		s += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// HadNoEffect reports whether the call had no effect and never will.
func (e *SharedLogError) HadNoEffect() bool {
	return e.Failure == LogRefused || e.Failure == LogThrottled
}

// IsThrottled reports whether an error says that the log is called too often.
func IsThrottled(err error) bool {
	var failed *SharedLogError
	return errors.As(err, &failed) && failed.Failure == LogThrottled
}

type backgroundKey struct{}

// InBackground returns a context for calls that no request waits for. They are sent after those
// that one waits for.
func InBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// IsInBackground reports whether no request waits for the calls of a context.
func IsInBackground(ctx context.Context) bool { return ctx.Value(backgroundKey{}) != nil }

// Unwrap returns the cause.
func (e *SharedLogError) Unwrap() error { return e.Cause }
