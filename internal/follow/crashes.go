package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/gen/quarantine"
	"yuccausher/internal/port"
)

const (
	// crashesWait is how long a read waits for the next crash. A host whose connection
	// has fallen silent learns of one no later than this and one call's timeout after
	// it could, which is less than the time after which hosts count as undisturbed.
	crashesWait = 1500 * time.Millisecond
	// crashesTimeout bounds a write of crashes. The store takes milliseconds, and 60
	// times as long when it is slow.
	crashesTimeout = 500 * time.Millisecond
	// crashesRetry is the pause after a write that failed.
	crashesRetry = 250 * time.Millisecond
	// lastTimeout bounds the write at the host's end.
	lastTimeout = 200 * time.Millisecond
	// crashLife is how long a crash stays in the log for hosts that start.
	crashLife = 10 * time.Minute
	// sweepInterval is about how often old crashes are looked for. Each host takes
	// another part of it, so that one removes what the others need not.
	sweepInterval = 2 * time.Minute
	// maxCrashes bounds the crashes of one write, some 100 bytes each.
	maxCrashes = 256
)

// Crashes are those of targets that a host has seen.
type Crashes interface {
	// Unshared returns those of which other hosts have not been told; Changed tells of
	// new ones. Shared takes those that last.
	Unshared() []poison.Mark
	Changed() <-chan struct{}
	Shared([]poison.Mark)
	// Learn takes those that another host has seen.
	Learn(host string, marks []poison.Mark)
}

// CrashLogParams are what a crash log is built from.
type CrashLogParams struct {
	// Host is this host's name.
	Host   string
	Stream port.KeyedStream
	// Put writes records of the stream; an empty value removes its key.
	Put     func(ctx context.Context, records []port.KeyedRecord) error
	Crashes Crashes
	Logger  logr.Logger
}

// CrashLog shares the crashes of targets among all hosts through the store. A crash
// has a record of its own, which outlasts the host that has seen it.
type CrashLog struct {
	params CrashLogParams
	tail   *tail
	log    logr.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup

	// seenAt is when the crashes of the log were seen, by key. It belongs to the tail.
	seenAt  map[string]time.Time
	sweepAt time.Time
	// old carries the keys of crashes that are to be removed.
	old chan []string
}

// NewCrashLog returns a crash log.
func NewCrashLog(p CrashLogParams) *CrashLog {
	c := &CrashLog{params: p, log: p.Logger.WithName("crashes"), seenAt: make(map[string]time.Time), old: make(chan []string, 1)}
	c.tail = &tail{stream: p.Stream, handler: c, wait: crashesWait, log: c.log}
	return c
}

// Start starts to read and to write.
func (c *CrashLog) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Go(func() { c.tail.run(ctx) })
	c.done.Go(func() { c.share(ctx) })
	return nil
}

// Stop ends both, after a last write of what is not shared yet.
func (c *CrashLog) Stop(ctx context.Context) error {
	c.stop()
	c.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, lastTimeout)
	defer cancel()
	if marks := c.params.Crashes.Unshared(); len(marks) > 0 {
		c.write(ctx, marks)
	}
	return nil
}

// share writes crashes as soon as they are seen, and again while that fails.
func (c *CrashLog) share(ctx context.Context) {
	for ctx.Err() == nil {
		marks := c.params.Crashes.Unshared()
		switch {
		case len(marks) == 0:
			c.await(ctx)
		case !c.write(ctx, marks[:min(len(marks), maxCrashes)]):
			sleep(ctx, crashesRetry)
		}
	}
}

// await waits for crashes to share and removes old ones meanwhile.
func (c *CrashLog) await(ctx context.Context) {
	select {
	case <-c.params.Crashes.Changed():
	case keys := <-c.old:
		c.remove(ctx, keys)
	case <-ctx.Done():
	}
}

// write writes crashes to the log and says whether they last.
func (c *CrashLog) write(ctx context.Context, marks []poison.Mark) bool {
	ctx, cancel := context.WithTimeout(ctx, crashesTimeout)
	defer cancel()
	begun := time.Now()
	records := make([]port.KeyedRecord, 0, len(marks))
	for _, m := range marks {
		value, err := proto.Marshal(encodeCrash(m, c.params.Host))
		if err != nil {
			c.log.Error(err, "A crash can't be encoded and is not shared.", "target", m.Target)
			continue
		}
		records = append(records, port.KeyedRecord{Key: crashKey(m), Value: value})
	}
	if err := c.params.Put(ctx, records); err != nil {
		c.log.Info("Crashes could not be written.", "count", len(marks), "ms", time.Since(begun).Milliseconds(), "cause", err.Error())
		return false
	}
	c.params.Crashes.Shared(marks)
	c.log.Info("Crashes are shared.", "count", len(marks), "ms", time.Since(begun).Milliseconds())
	return true
}

func (c *CrashLog) remove(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(ctx, crashesTimeout)
	defer cancel()
	records := make([]port.KeyedRecord, len(keys))
	for i, key := range keys {
		records[i].Key = key
	}
	if err := c.params.Put(ctx, records); err != nil {
		c.log.Info("Old crashes could not be removed; it will be tried again.", "count", len(keys), "cause", err.Error())
		return
	}
	c.log.Info("Old crashes are removed.", "count", len(keys))
}

// crashKey is the same for all marks of one crash on one content.
func crashKey(m poison.Mark) string {
	run := m.Crash()
	return fmt.Sprintf("%016x-%016x", m.Fingerprint, xxhash.Sum64String(fmt.Sprint(run.Target, "/", run.Run, "/", run.At)))
}

func encodeCrash(m poison.Mark, host string) *quarantine.Crash {
	return &quarantine.Crash{Fingerprint: m.Fingerprint, Target: m.Target, Run: m.Run, SeenAt: uint64(m.At), Host: host}
}

func decodeCrash(c *quarantine.Crash) poison.Mark {
	return poison.Mark{Fingerprint: c.GetFingerprint(), Target: c.GetTarget(), Run: c.GetRun(), At: int64(c.GetSeenAt())}
}

func (c *CrashLog) reset(records []port.KeyedRecord) {
	clear(c.seenAt)
	for _, r := range records {
		c.apply(r)
	}
}

func (c *CrashLog) apply(r port.KeyedRecord) {
	if len(r.Value) == 0 {
		delete(c.seenAt, r.Key)
		return
	}
	var m quarantine.Crash
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		c.log.Info("A crash can't be read and is passed over.", "key", r.Key, "cause", errors.Trace(err).Error())
		return
	}
	mark := decodeCrash(&m)
	c.seenAt[r.Key] = time.Unix(0, mark.At)
	c.params.Crashes.Learn(m.GetHost(), []poison.Mark{mark})
}

// read now and then has old crashes removed.
func (c *CrashLog) read(now time.Time) {
	if c.sweepAt.IsZero() {
		c.sweepAt = now.Add(time.Duration(rand.Float64() * float64(sweepInterval)))
	}
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(time.Duration((0.5 + rand.Float64()) * float64(sweepInterval)))
	var keys []string
	for key, at := range c.seenAt {
		if now.Sub(at) > crashLife && len(keys) < maxCrashes {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	select {
	case c.old <- keys:
	default: // the last ones are being removed
	}
}

func (c *CrashLog) returned(time.Time) {}
