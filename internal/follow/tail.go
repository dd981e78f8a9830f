// Package follow keeps a host's route table and targets in step with the
// records that operators and targets write to the platform's store.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/port"
	logtail "yuccausher/internal/tail"
)

const (
	// firstRetry and maxRetry bound the pause after a read that failed. A host
	// that starts serves as soon as it has read both streams.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// handler takes the records of a stream.
type handler interface {
	// reset takes the newest record of each key.
	reset(records []port.KeyedRecord)
	// apply takes one further record.
	apply(r port.KeyedRecord)
	// read is called after each successful read.
	afterRead(now time.Time)
	// returned is called when the store answers again after an outage, before
	// the records that were written around it.
	storeRecovered(now time.Time)
}

// tail reads one keyed stream without end.
type tail struct {
	stream  port.KeyedStream
	handler handler
	// wait is how long the store may hold back a read for the next record,
	// pause how long the tail waits between reads.
	wait  time.Duration
	pause time.Duration
	log   logr.Logger

	next int64
	// known says that the tail has read the newest records.
	isSynced     bool
	failingSince time.Time

	mu       sync.Mutex
	lastRead time.Time
}

func (t *tail) run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		err := t.step(ctx)
		t.observe(ctx, err)
		if err != nil {
			sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = firstRetry
		sleep(ctx, t.pause)
	}
}

// step reads the newest records or those that follow.
func (t *tail) step(ctx context.Context) error {
	if !t.isSynced {
		records, next, err := t.stream.Newest(ctx)
		if err != nil {
			return err
		}
		t.endOutage()
		t.handler.reset(records)
		t.next, t.isSynced = next, true
		t.readSucceeded()
		return nil
	}
	records, next, skipped, err := t.stream.Read(ctx, t.next, t.wait)
	var failed *port.SharedLogError
	if errors.As(err, &failed) && failed.Failure == port.LogTrimmed {
		t.log.Info("Records were dropped, reading the newest of each key.", "from", t.next, "oldest", failed.Oldest)
		t.isSynced = false
		return t.step(ctx)
	}
	if err != nil {
		return err
	}
	t.endOutage()
	if skipped > 0 {
		t.log.Info("Records can't be read and are passed over.", "records", skipped, "from", t.next)
	}
	for _, r := range records {
		t.handler.apply(r)
	}
	t.next = next
	t.readSucceeded()
	return nil
}

func (t *tail) readSucceeded() {
	now := time.Now()
	t.mu.Lock()
	t.lastRead = now
	t.mu.Unlock()
	t.handler.afterRead(now)
}

// returnedNow notes the end of an outage before the records that were written
// around it are applied.
func (t *tail) endOutage() {
	if t.failingSince.IsZero() {
		return
	}
	now := time.Now()
	t.log.Info("Store answers again.", "away", now.Sub(t.failingSince).String())
	t.failingSince = time.Time{}
	t.handler.storeRecovered(now)
}

func (t *tail) observe(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil || !t.failingSince.IsZero() {
		return
	}
	t.failingSince = time.Now()
	t.log.Info("Store fails.", "cause", err.Error())
}

// readAt returns when the tail has last read to the end of the stream; zero
// before the first time.
func (t *tail) readAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRead
}

// sleep waits for about d, so that hosts that started together spread out.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	logtail.Sleep(ctx, time.Duration((0.9+0.2*rand.Float64())*float64(d)))
}
