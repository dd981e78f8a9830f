package port

import (
	"context"
	"time"
)

// KeyedStream is a compacted stream: the newest record of each key is never dropped.
type KeyedStream interface {
	// Newest returns the newest record of each key and the offset at which to continue
	// with Read.
	Newest(ctx context.Context) ([]KeyedRecord, int64, error)
	// Read returns the records from an offset on and the offset after them. If there
	// are none yet, it waits for up to wait. Records whose key can't be read are
	// omitted and counted in skipped.
	Read(ctx context.Context, from int64, wait time.Duration) (records []KeyedRecord, next int64, skipped int, err error)
}
