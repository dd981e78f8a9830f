package port

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the record's position in its stream. Consecutive records have
	// consecutive offsets.
	Offset int64
	// AppendedAt is the time of the append on the platform's clock.
	AppendedAt time.Time
	Data       []byte
}

// Page is the result of one read.
type Page struct {
	Records []Record
	// Oldest is the offset of the oldest record still kept.
	Oldest int64
	// End is the offset of the next append.
	End int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to the end of a stream, atomically and contiguously,
	// and returns the offset of the first. A failed append is either refused
	// (*LogError with Ambiguous false: nothing was written) or ambiguous: only
	// reading the stream shows whether the records were written.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records starting at the offset from. If there are none yet,
	// it waits for up to wait. If from is below the oldest offset, the page
	// starts at the oldest.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// LogError is a failure of the log service.
type LogError struct {
	Op     string
	Stream string
	// Ambiguous is true if an append may have taken effect.
	Ambiguous bool
	// RateLimited is true if the log refused because of its rate limit.
	RateLimited bool
	Cause       error
}

// Error implements error.
func (e *LogError) Error() string {
	s := "log " + e.Op + " on stream " + e.Stream + " failed"
	if e.Ambiguous {
		s += ", outcome unknown"
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }
