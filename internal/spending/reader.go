package spending

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// readTimeout bounds a read of the log: one that is 60 times slower than usual
// still makes it. It tells whether the log is away.
const readTimeout = 400 * time.Millisecond

// lateRead is when a read makes the host probe its other partitions: many times
// what a read takes. Should the log be away, all of them are known to be at the
// time at which the first one is.
const slowReadThreshold = 100 * time.Millisecond

// pageBytes bounds one read. After a power cut all hosts read the whole log at
// once, and a page still has to come within readTimeout through a link of 30
// Mbit/s and out of the store's 80 MB/s for all hosts.
const pageBytes = 32 << 10

// readAll reads the whole partition for the first time. A host does so for a few
// partitions at a time.
func (l *ledger) runInitialRead(ctx context.Context) {
	for ctx.Err() == nil {
		// While it is away, the partition is probed elsewhere.
		if !l.isUnavailable() && l.readInitially(ctx) == nil {
			return
		}
		tail.Sleep(ctx, maxRetry)
	}
}

func (l *ledger) readInitially(ctx context.Context) error {
	select {
	case l.firstReadSlots <- struct{}{}:
		defer func() { <-l.firstReadSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.catchUp(ctx, math.MaxInt64)
}

// catchUp reads the log up to an offset, once at least.
func (l *ledger) catchUp(ctx context.Context, to int64) error {
	select {
	case l.readSlot <- struct{}{}:
		defer func() { <-l.readSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if to > 0 && l.appliedOffset() >= to {
		return nil
	}
	for {
		end, err := l.readPage(ctx)
		if err != nil {
			return err
		}
		if l.appliedOffset() >= min(to, end) {
			return nil
		}
	}
}

// probe reads a page.
func (l *ledger) probe(ctx context.Context) error { return l.catchUp(ctx, 0) }

func (l *ledger) appliedOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied
}

// readOn reads and applies one page and returns the end of the log.
func (l *ledger) readPage(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	late := time.AfterFunc(slowReadThreshold, l.availability.onSlowRead)
	defer late.Stop()
	from := l.appliedOffset()
	page, err := l.shared.Read(ctx, l.partition, port.Range{From: from, MaxBytes: pageBytes})
	var failed *port.SharedLogError
	if errors.As(err, &failed) && failed.Failure == port.LogTrimmed {
		l.availability.observe(nil)
		l.mu.Lock()
		l.applied = failed.Oldest
		l.mu.Unlock()
		return failed.Oldest + 1, nil
	}
	l.availability.observe(err)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Claims that were settled by the answers to their appends while the page was on
	// its way are in the book already.
	for _, data := range page.Records[min(l.applied-from, int64(len(page.Records))):] {
		claim, err := decode(data)
		if err != nil {
			l.metrics.invalid.Inc(1)
			l.log.Info("A claim can't be read and is passed over.", "partition", l.partition.Part, "offset", l.applied, "cause", err.Error())
			l.applied++
			continue
		}
		l.apply(claim)
	}
	return page.End, nil
}

// apply takes the claim at the applied offset.
func (l *ledger) apply(c budget.Claim) {
	verdict := l.book.Apply(c, time.Now())
	if c.Writer == l.writer {
		if s := l.slices[c.Program]; s != nil {
			if s.isClaiming && s.Sequence == c.Sequence {
				l.verdicts[c.Sequence] = verdict
			}
			s.Confirm(c.Sequence, l.book.Held(c.Program, l.writer))
		}
	}
	l.applied++
}
