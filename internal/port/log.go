package port

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the record's position in its stream. Offsets grow by one.
	Offset int64
	// AppendedAt is the platform's own time of the append.
	AppendedAt time.Time
	Data       []byte
}

// Page is one answer to a read.
type Page struct {
	Records []Record
	// Oldest is the offset of the oldest record still kept.
	Oldest int64
	// End is the offset that the next append will get.
	End int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to the end of a stream, all or none and side by
	// side, and returns the offset of the first. A failed append is either
	// refused (*LogError with Ambiguous false: nothing was written) or
	// ambiguous: only reading the stream tells.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from offset from on. If there are none yet, it
	// waits for up to wait. A from below Oldest is answered from Oldest.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// LogError is a failure of the log service.
type LogError struct {
	Op     string
	Stream string
	// Ambiguous says that an append may have taken effect.
	Ambiguous bool
	// Limited says that the log refused because of its rate limit.
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
