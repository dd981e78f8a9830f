package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	// crashReads is how many reads fit into the time within which crashes are to be
	// known. A read waits for the next crash; one whose connection has fallen silent
	// fails after its wait and a call's timeout, and the next one must come in time.
	crashReads = 2
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
	// tellTimeout bounds a call to another host, tellAtOnce the calls at a time, and
	// tellTotal all of them: a host that is cut off must try the store again.
	tellTimeout = 300 * time.Millisecond
	tellAtOnce  = 16
	tellTotal   = time.Second
	// relays is how many other hosts are asked to write crashes for one that does not
	// reach the store: the first may not reach it either.
	relays = 3
)

// Crashes are those of targets that a host has seen.
type Crashes interface {
	// Unshared returns those of this host that are not in the log, Relayed those of
	// others that are to be written for them; Changed tells of new ones. Shared takes
	// those that are in the log.
	Unshared() []poison.Mark
	Relayed() []poison.Mark
	Changed() <-chan struct{}
	ConfirmShared([]poison.Mark)
	// Learn takes those that another host has seen.
	Receive(host string, marks []poison.Mark)
}

// Peers are the other hosts.
type Peers interface {
	// Hosts returns their addresses.
	Hosts() []string
	// Tell tells one of crashes. A relay is asked to write them to the log.
	Notify(ctx context.Context, host string, marks []poison.Mark, isRelay bool) error
}

// CrashLogParams are what a crash log is built from.
type CrashLogParams struct {
	// Host is this host's name.
	Host   string
	Stream port.KeyedStream
	// Put writes records of the stream; an empty value removes its key.
	Put func(ctx context.Context, records []port.KeyedRecord) error
	// Within is the time in which hosts are to know of crashes after a disturbance.
	PropagationLimit time.Duration
	// Peers are told while the store does not take crashes.
	Peers   Peers
	Crashes Crashes
	Logger  logr.Logger
}

// CrashLog shares the crashes of targets among all hosts through the store. A crash
// has a record of its own, which outlasts the host that has seen it. A host that does
// not reach the store tells the others, some of which write for it.
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
	// told are the marks that the others have been told of, and failingSince is when
	// writes began to fail. They belong to the writer.
	told         map[poison.Mark]bool
	failingSince time.Time
}

// NewCrashLog returns a crash log.
func NewCrashLog(p CrashLogParams) *CrashLog {
	c := &CrashLog{params: p, log: p.Logger.WithName("crashes"), seenAt: make(map[string]time.Time), old: make(chan []string, 1), told: make(map[poison.Mark]bool)}
	c.tail = &tail{stream: p.Stream, handler: c, wait: p.PropagationLimit / crashReads, log: c.log}
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
	if marks := c.waiting(); len(marks) > 0 {
		c.write(ctx, marks)
	}
	return nil
}

// waiting returns what is to be written next.
func (c *CrashLog) waiting() []poison.Mark {
	marks := append(c.params.Crashes.Unshared(), c.params.Crashes.Relayed()...)
	return marks[:min(len(marks), maxCrashes)]
}

// share writes crashes as soon as they are seen, and again while that fails.
func (c *CrashLog) share(ctx context.Context) {
	for ctx.Err() == nil {
		marks := c.waiting()
		if len(marks) == 0 {
			clear(c.told)
			c.await(ctx)
			continue
		}
		if !c.failingSince.IsZero() {
			c.tell(ctx)
		}
		if !c.write(ctx, marks) {
			c.tell(ctx)
			sleep(ctx, crashesRetry)
		}
	}
}

// tell tells all other hosts of the crashes that this one has seen, and asks some to
// write them.
func (c *CrashLog) tell(ctx context.Context) {
	marks := slices.DeleteFunc(c.params.Crashes.Unshared(), func(m poison.Mark) bool { return c.told[m] })
	hosts := c.params.Peers.Hosts()
	if len(marks) == 0 || len(hosts) == 0 {
		return
	}
	marks = marks[:min(len(marks), maxCrashes)]
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	ctx, cancel := context.WithTimeout(ctx, tellTotal)
	defer cancel()
	var reached, asked atomic.Int64
	var calls sync.WaitGroup
	slots := make(chan struct{}, tellAtOnce)
	for _, host := range hosts {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			isRelay := asked.Add(1) <= relays
			if err := c.params.Peers.Notify(ctx, host, marks, isRelay); err != nil {
				if isRelay {
					asked.Add(-1)
				}
				c.log.V(1).Info("A host could not be told of crashes.", "host", host, "cause", err.Error())
				return
			}
			reached.Add(1)
		})
	}
	calls.Wait()
	if reached.Load() > 0 {
		for _, m := range marks {
			c.told[m] = true
		}
	}
	c.log.Info("Other hosts are told of crashes.", "count", len(marks), "hosts", len(hosts), "reached", reached.Load())
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
		value, err := proto.Marshal(poison.ToWire(m, c.params.Host))
		if err != nil {
			c.log.Error(err, "A crash can't be encoded and is not shared.", "target", m.Target)
			continue
		}
		records = append(records, port.KeyedRecord{Key: crashKey(m), Value: value})
	}
	err := c.params.Put(ctx, records)
	c.observe(err)
	if err != nil {
		return false
	}
	c.params.Crashes.ConfirmShared(marks)
	c.log.Info("Crashes are shared.", "count", len(marks), "ms", time.Since(begun).Milliseconds())
	return true
}

// observe logs when writes begin to fail and when they succeed again.
func (c *CrashLog) observe(err error) {
	switch {
	case err != nil && c.failingSince.IsZero():
		c.failingSince = time.Now()
		c.log.Info("Store takes no crashes.", "cause", err.Error())
	case err == nil && !c.failingSince.IsZero():
		c.log.Info("Store takes crashes again.", "away", time.Since(c.failingSince).String())
		c.failingSince = time.Time{}
	}
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
	run := m.CrashKey()
	return fmt.Sprintf("%016x-%016x", m.Fingerprint, xxhash.Sum64String(fmt.Sprint(run.Target, "/", run.Run, "/", run.At)))
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
	mark := poison.FromWire(&m)
	c.seenAt[r.Key] = time.Unix(0, mark.At)
	c.params.Crashes.Receive(m.GetHost(), []poison.Mark{mark})
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
