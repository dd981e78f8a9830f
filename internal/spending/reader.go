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

// readTimeout bounds a read of the log. A read that is 60 times slower than usual
// still completes in it. One that exceeds it marks the log as unavailable.
const readTimeout = 400 * time.Millisecond

// initialReadTimeout bounds a read of a partition that has not been read to its end yet,
// as long as the log answers other calls of the host. After a simultaneous start of all
// hosts the store sends whole partitions to many of them.
const initialReadTimeout = 1200 * time.Millisecond

// slowReadThreshold is the duration after which a read makes the host probe its other
// partitions: many times the usual duration of a read. In an outage the host thus
// detects all partitions as unavailable at the same time as the first one.
const slowReadThreshold = 100 * time.Millisecond

// pageBytes bounds one read. After a power failure all hosts read the whole log at
// once, and a page still has to arrive within readTimeout over a link of 30 Mbit/s
// and with 80 MB/s of the store shared by all hosts.
const pageBytes = 32 << 10

// runInitialRead retries until the partition has been read to its end once.
func (l *ledger) runInitialRead(ctx context.Context) {
	for ctx.Err() == nil {
		// While the partition is unavailable, runProbes reads it.
		if !l.isUnavailable() && l.readInitially(ctx) == nil {
			return
		}
		tail.Sleep(ctx, maxRetry)
	}
}

// readInitially reads the partition to its end. A host does so for at most
// maxInitialReads partitions at a time, and the others wait.
func (l *ledger) readInitially(ctx context.Context) error {
	select {
	case l.initialReadSlots <- struct{}{}:
		defer func() { <-l.initialReadSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := l.catchUp(port.InBackground(ctx), math.MaxInt64); err != nil {
		return err
	}
	l.isRead.Store(true)
	return nil
}

// boundRead returns the context of a read. It ends after readTimeout, or after
// initialReadTimeout if the partition has not been read yet and the log answers other
// calls meanwhile.
func (l *ledger) boundRead(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.isRead.Load() {
		return context.WithTimeout(ctx, readTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	started := time.Now()
	silent := time.AfterFunc(readTimeout, func() {
		if !l.availability.hasAnsweredSince(started) {
			cancel()
		}
	})
	return ctx, func() {
		silent.Stop()
		cancel()
	}
}

// catchUp reads the log up to an offset, or to its end if that comes first. It reads
// at least one page, unless the book has already reached a positive offset.
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

// probe reads one page.
func (l *ledger) probe(ctx context.Context) error { return l.catchUp(ctx, 0) }

func (l *ledger) appliedOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied
}

// readPage reads and applies one page and returns the offset of the end of the log.
func (l *ledger) readPage(ctx context.Context) (int64, error) {
	ctx, cancel := l.boundRead(ctx)
	defer cancel()
	slow := time.AfterFunc(slowReadThreshold, l.availability.onSlowRead)
	defer slow.Stop()
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
	// The book already includes claims that were applied on the answer to their append
	// while this read was in progress.
	for _, data := range page.Records[min(l.applied-from, int64(len(page.Records))):] {
		claim, m, err := decode(data)
		if err != nil {
			l.metrics.invalid.Inc(1)
			l.log.Info("Claim record can't be decoded; skipping it.", "partition", l.partition.Part, "offset", l.applied, "cause", err.Error())
			l.applied++
			continue
		}
		l.following.observe(m)
		l.apply(claim)
	}
	if l.applied >= page.End {
		l.follow()
	}
	return page.End, nil
}

// apply applies the claim at offset l.applied to the book, and to this host's slice
// if the claim is its own. The caller holds l.mu.
func (l *ledger) apply(c budget.Claim) {
	if c.Program == "" {
		l.applied++ // only a mark
		return
	}
	verdict := l.book.Apply(c, time.Now())
	if s := l.sliceOfWriter(c.Program, c.Writer); s != nil {
		if s.isClaiming && s.Sequence == c.Sequence {
			l.verdicts[c.Sequence] = verdict
		}
		s.Confirm(c.Sequence, l.book.Held(c.Program, c.Writer))
	}
	l.applied++
}
