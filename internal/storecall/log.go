// Package storecall limits and counts the calls of this host to the shared log. All
// components of a host call the log through it, so that together they stay within what the
// log accepts from one host, and calls that requests wait for go before the others.
package storecall

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/core/callrate"
	"yuccausher/internal/port"
)

const (
	// maxUrgentWait and maxBackgroundWait limit how long a call waits to be sent. A request
	// that has waited for longer is better refused, so that its caller tries another host.
	maxUrgentWait     = 300 * time.Millisecond
	maxBackgroundWait = 2 * time.Second
	// pollInterval is how often a waiting call looks whether the rate has grown meanwhile.
	pollInterval = 20 * time.Millisecond
	// reportInterval is the interval of the log lines that count the calls.
	reportInterval = 5 * time.Second
)

// Log is a shared log whose calls are limited and counted. It implements port.SharedLog.
type Log struct {
	next port.SharedLog
	log  logr.Logger
	// hosts returns the number of hosts that share the log.
	hosts atomic.Pointer[func() int]

	mu            sync.Mutex
	reads, writes *callrate.Limiter
	counts        counts
	reportedAt    time.Time
}

var _ port.SharedLog = (*Log)(nil)

// New returns a log that passes calls to next. readsPerSecond and writesPerSecond are what it
// accepts from all hosts; zero if unknown.
func New(next port.SharedLog, readsPerSecond, writesPerSecond float64, log logr.Logger) *Log {
	now := time.Now()
	return &Log{
		next:       next,
		log:        log.WithName("storecall"),
		reads:      callrate.New(readsPerSecond, now),
		writes:     callrate.New(writesPerSecond, now),
		counts:     make(counts),
		reportedAt: now,
	}
}

// assumedHosts is the number of hosts that is assumed until it is known: a host that starts together
// with all others must not take the share of a host that is alone.
const assumedHosts = 64

// SetHosts sets how the number of hosts that share the log is found; it is zero while unknown.
func (l *Log) SetHosts(count func() int) { l.hosts.Store(&count) }

// Append implements port.SharedLog.
func (l *Log) Append(ctx context.Context, p port.Partition, records [][]byte) (int64, error) {
	var offset int64
	err := l.call(ctx, purpose{p.Topic, "append"}, p, l.writes, func() (err error) {
		offset, err = l.next.Append(ctx, p, records)
		return err
	})
	return offset, err
}

// Read implements port.SharedLog.
func (l *Log) Read(ctx context.Context, p port.Partition, r port.Range) (port.RawPage, error) {
	var page port.RawPage
	op := "read"
	if r.Wait > 0 {
		op = "follow"
	}
	err := l.call(ctx, purpose{p.Topic, op}, p, l.reads, func() (err error) {
		page, err = l.next.Read(ctx, p, r)
		return err
	})
	return page, err
}

// Newest implements port.SharedLog.
func (l *Log) Newest(ctx context.Context, p port.Partition) ([]port.KeyedRecord, int64, error) {
	var records []port.KeyedRecord
	var end int64
	err := l.call(ctx, purpose{p.Topic, "newest"}, p, l.reads, func() (err error) {
		records, end, err = l.next.Newest(ctx, p)
		return err
	})
	return records, end, err
}

// Trim implements port.SharedLog.
func (l *Log) Trim(ctx context.Context, p port.Partition, before int64) error {
	return l.call(port.InBackground(ctx), purpose{p.Topic, "trim"}, p, l.writes, func() error { return l.next.Trim(ctx, p, before) })
}

// call sends a call as soon as the rate allows it. Its error is a *port.SharedLogError.
func (l *Log) call(ctx context.Context, what purpose, p port.Partition, limiter *callrate.Limiter, send func() error) error {
	if err := l.admit(ctx, limiter); err != nil {
		l.finish(what, limiter, withheld)
		return &port.SharedLogError{Op: what.op, Partition: p, Failure: port.LogThrottled, Cause: err}
	}
	err := send()
	l.finish(what, limiter, resultOf(err))
	return err
}

// errThrottled reports that a call was not sent because this host makes too many.
var errThrottled = errors.New("too many calls of this host wait to be sent")

// admit waits until a call may be sent. It returns an error at once if that can't be in time, so
// that no call is made for a request that nobody waits for any longer.
func (l *Log) admit(ctx context.Context, limiter *callrate.Limiter) error {
	class, limit := callrate.Urgent, maxUrgentWait
	if port.IsInBackground(ctx) {
		class, limit = callrate.Background, maxBackgroundWait
	}
	giveUp := time.Now().Add(limit)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(giveUp) {
		giveUp = deadline
	}
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		now := time.Now()
		wait := l.take(limiter, class, now)
		if wait == 0 {
			return nil
		}
		if !now.Add(min(wait, pollInterval)).Before(giveUp) {
			return errThrottled
		}
		sleep(ctx, min(wait, pollInterval))
	}
}

// take admits a call now, or returns how long it has to wait.
func (l *Log) take(limiter *callrate.Limiter, class callrate.Class, now time.Time) time.Duration {
	hosts := assumedHosts
	if count := l.hosts.Load(); count != nil && (*count)() > 0 {
		hosts = (*count)()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter.SetHosts(hosts)
	return limiter.Take(class, now)
}

// finish counts a call and passes its result to the limiter.
func (l *Log) finish(what purpose, limiter *callrate.Limiter, r result) {
	now := time.Now()
	l.mu.Lock()
	switch r {
	case answered:
		limiter.Answered()
	case refused:
		limiter.Refused(now)
	}
	l.counts.add(what, r)
	due := now.Sub(l.reportedAt) >= reportInterval
	var report []any
	if due {
		report = append(l.counts.fields(), "ms", now.Sub(l.reportedAt).Milliseconds(),
			"reads_per_second", int(l.reads.Rate()), "writes_per_second", int(l.writes.Rate()))
		l.counts, l.reportedAt = make(counts), now
	}
	l.mu.Unlock()
	if due {
		l.log.Info("Calls to the shared log.", report...)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
