package standin

import (
	"context"
	"time"
)

// sleep waits for d, or returns the context's error if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lagged holds a value whose changes are seen late.
type lagged[T any] struct {
	versions []laggedVersion[T]
}

type laggedVersion[T any] struct {
	visibleAt time.Time
	value     T
}

// set stores a value that is seen from visibleAt on.
func (l *lagged[T]) set(visibleAt time.Time, value T) {
	l.versions = append(l.versions, laggedVersion[T]{visibleAt, value})
}

// newest returns the last value stored, seen or not.
func (l *lagged[T]) newest() T {
	return l.versions[len(l.versions)-1].value
}

// seen returns the value that is seen at now and forgets older ones.
func (l *lagged[T]) seen(now time.Time) T {
	for len(l.versions) > 1 && !l.versions[1].visibleAt.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].value
}
