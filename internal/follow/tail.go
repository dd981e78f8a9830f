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
	// firstRetry and maxRetry limit the pause after a failed read. The first retry is
	// early because a host that starts can serve only after it has read both streams.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// handler processes the records of a stream. Its methods are called by one goroutine.
type handler interface {
	// reset receives the newest record of each key. It replaces all earlier records.
	reset(records []port.KeyedRecord)
	// apply receives one further record.
	apply(r port.KeyedRecord)
	// afterRead is called after each successful read and its records.
	afterRead(now time.Time)
	// storeRecovered is called when the store answers again after an outage, before the
	// records of that read.
	storeRecovered(now time.Time)
}

// tail reads one keyed stream until its context ends.
type tail struct {
	stream  port.KeyedStream
	handler handler
	// wait is how long the store may hold a read open until the next record, pause how
	// long the tail waits between reads.
	wait  time.Duration
	pause time.Duration
	log   logr.Logger
	// refresher makes the tail read at once; nil if nobody asks for that.
	refresher *refresher

	next int64
	// isSynced is true after the newest record of each key has been read; next is then
	// the offset of the next read.
	isSynced     bool
	failingSince time.Time

	mu       sync.Mutex
	lastRead time.Time
}

// run reads the stream until ctx ends.
func (t *tail) run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		err := t.refreshingStep(ctx)
		t.observe(ctx, err)
		if err != nil {
			t.sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = firstRetry
		t.sleep(ctx, t.pause)
	}
}

// refreshingStep makes a step and tells those who wait for it.
func (t *tail) refreshingStep(ctx context.Context) error {
	if t.refresher == nil {
		return t.step(ctx)
	}
	end := t.refresher.begin()
	err := t.step(ctx)
	end(err)
	return err
}

// sleep waits between two reads.
func (t *tail) sleep(ctx context.Context, d time.Duration) {
	if t.refresher == nil {
		sleep(ctx, d)
		return
	}
	t.refresher.sleep(ctx, d)
}

// step reads the newest record of each key, or the records that follow if the tail is
// synced.
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
		t.log.Info("Records were trimmed; reading the newest record of each key.", "from", t.next, "oldest", failed.Oldest)
		t.isSynced = false
		return t.step(ctx)
	}
	if err != nil {
		return err
	}
	t.endOutage()
	if skipped > 0 {
		t.log.Info("Records with invalid keys were skipped.", "records", skipped, "from", t.next)
	}
	for _, r := range records {
		t.handler.apply(r)
	}
	t.next = next
	t.readSucceeded()
	return nil
}

// readSucceeded records the time of a successful read.
func (t *tail) readSucceeded() {
	now := time.Now()
	t.mu.Lock()
	t.lastRead = now
	t.mu.Unlock()
	t.handler.afterRead(now)
}

// endOutage ends an outage, if there was one. It is called before the records of the
// first successful read are applied.
func (t *tail) endOutage() {
	if t.failingSince.IsZero() {
		return
	}
	now := time.Now()
	t.log.Info("Store is available again.", "away", now.Sub(t.failingSince).String())
	t.failingSince = time.Time{}
	t.handler.storeRecovered(now)
}

// observe logs the start of an outage.
func (t *tail) observe(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil || !t.failingSince.IsZero() {
		return
	}
	t.failingSince = time.Now()
	t.log.Info("Store is unavailable.", "cause", err.Error())
}

// readAt returns when the stream was last read to its end; zero before the first read.
func (t *tail) readAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRead
}

// sleep waits for d with a jitter of 10 %, so that hosts that started together spread
// out.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	logtail.Sleep(ctx, jittered(d))
}

func jittered(d time.Duration) time.Duration {
	return time.Duration((0.9 + 0.2*rand.Float64()) * float64(d))
}
