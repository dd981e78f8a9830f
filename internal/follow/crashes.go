package follow

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
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
	// readsPerLimit is how many reads fit into the propagation limit. A read waits for
	// the next crash mark. If its connection has fallen silent, it fails after its wait
	// and the timeout of a call, and the next read must complete within the limit.
	readsPerLimit = 2
	// writeTimeout limits a write of crash marks. The store takes milliseconds, and
	// 60 times as long when it is slow.
	writeTimeout = 500 * time.Millisecond
	// writeRetry is the pause after a failed write.
	writeRetry = 250 * time.Millisecond
	// finalWriteTimeout limits the last write when the host stops.
	finalWriteTimeout = 200 * time.Millisecond
	// crashRetention is how long a crash mark stays in the log, quarantineRetention how
	// long those of quarantined content do. Content that is not quarantined must not
	// collect marks of crashes by chance.
	crashRetention      = 10 * time.Minute
	quarantineRetention = 24 * time.Hour
	// sweepInterval is the mean time between searches for expired marks. Each host adds
	// its own jitter, so that usually one host removes the marks before the others find
	// them.
	sweepInterval = 2 * time.Minute
	// maxBatch limits the marks of one write, about 100 bytes each.
	maxBatch = 256
	// notifyTimeout limits a call to another host and notifyConcurrency the number of
	// concurrent calls. notifyTotalTimeout limits all calls of one round: a host that
	// is cut off must return to trying the store.
	notifyTimeout      = 300 * time.Millisecond
	notifyConcurrency  = 16
	notifyTotalTimeout = time.Second
	// maxRelays is how many other hosts are asked to write the marks of a host that
	// can't reach the store: a single one may not reach it either.
	maxRelays = 3
)

// Crashes is the source and destination of crash marks at this host.
type Crashes interface {
	// Unshared returns the marks of this host that are not in the log.
	Unshared() []poison.Mark
	// Relayed returns marks of other hosts that this one is to write to the log.
	Relayed() []poison.Mark
	// Changed signals that there are new marks to write.
	Changed() <-chan struct{}
	// ConfirmShared removes marks that are in the log from Unshared and Relayed.
	ConfirmShared([]poison.Mark)
	// Receive adds marks of another host.
	Receive(host string, marks []poison.Mark)
	// Cleared returns marks that this host is to remove from the log, and ConfirmCleared
	// removes those that are no longer there.
	Cleared() []poison.Mark
	ConfirmCleared([]poison.Mark)
	// Remove removes marks of content that are no longer in the log.
	Remove(fingerprint uint64, isRemoved func(poison.Mark) bool)
	// IsQuarantined reports whether content is quarantined.
	IsQuarantined(fingerprint func() uint64) bool
}

// Peers reaches the other hosts.
type Peers interface {
	// Hosts returns the addresses of the other hosts.
	Hosts() []string
	// Notify sends crash marks to a host. With isRelay, the host is asked to write them
	// to the log as well. It returns an error if the host could not be reached.
	Notify(ctx context.Context, host string, marks []poison.Mark, isRelay bool) error
}

// CrashLogParams are the dependencies and settings of a crash log.
type CrashLogParams struct {
	// Host is the name of this host.
	Host   string
	Stream port.KeyedStream
	// Put writes records of the stream; an empty value removes its key.
	Put func(ctx context.Context, records []port.KeyedRecord) error
	// PropagationLimit is the time within which all hosts must have a mark after a
	// disturbance.
	PropagationLimit time.Duration
	// Peers are notified while the store does not accept marks.
	Peers   Peers
	Crashes Crashes
	Logger  logr.Logger
}

// CrashLog shares the crash marks of targets among all hosts through the store. Each
// mark has its own record, which remains when the host that wrote it stops. A host that
// can't reach the store notifies the other hosts, some of which write the marks on its
// behalf.
type CrashLog struct {
	params CrashLogParams
	tail   *tail
	log    logr.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup

	// marks maps the keys in the log to their marks. Only the tail's goroutine uses it
	// and sweepAt.
	marks   map[string]poison.Mark
	sweepAt time.Time
	// expired passes the keys of expired marks to the writer.
	expired chan []string
	// notified contains the marks that other hosts have been notified of, and
	// failingSince is when writes began to fail. Only the writer's goroutine uses them.
	notified     map[poison.Mark]bool
	failingSince time.Time
}

// NewCrashLog returns a crash log. Call Start to read and write marks.
func NewCrashLog(p CrashLogParams) *CrashLog {
	c := &CrashLog{params: p, log: p.Logger.WithName("crashes"), marks: make(map[string]poison.Mark), expired: make(chan []string, 1), notified: make(map[poison.Mark]bool)}
	c.tail = &tail{stream: p.Stream, handler: c, wait: p.PropagationLimit / readsPerLimit, log: c.log}
	return c
}

// Start starts reading and writing in the background.
func (c *CrashLog) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Go(func() { c.tail.run(ctx) })
	c.done.Go(func() { c.share(ctx) })
	return nil
}

// Stop stops the background work and makes a last attempt to write the pending marks.
func (c *CrashLog) Stop(ctx context.Context) error {
	c.stop()
	c.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, finalWriteTimeout)
	defer cancel()
	if marks := c.pending(); len(marks) > 0 {
		c.write(ctx, marks)
	}
	return nil
}

// pending returns the next marks to write, at most maxBatch.
func (c *CrashLog) pending() []poison.Mark {
	marks := append(c.params.Crashes.Unshared(), c.params.Crashes.Relayed()...)
	return marks[:min(len(marks), maxBatch)]
}

// share writes marks as soon as they are set and retries failed writes, until ctx ends.
func (c *CrashLog) share(ctx context.Context) {
	for ctx.Err() == nil {
		// Other hosts must not count cleared marks together with later ones.
		if !c.removeCleared(ctx) {
			sleep(ctx, writeRetry)
		}
		marks := c.pending()
		if len(marks) == 0 && len(c.params.Crashes.Cleared()) > 0 {
			continue
		}
		if len(marks) == 0 {
			clear(c.notified)
			c.waitForChange(ctx)
			continue
		}
		if !c.failingSince.IsZero() {
			c.notifyPeers(ctx)
		}
		if !c.write(ctx, marks) {
			c.notifyPeers(ctx)
			sleep(ctx, writeRetry)
		}
	}
}

// notifyPeers sends the marks of this host to all other hosts and asks some of them to
// write them to the log.
func (c *CrashLog) notifyPeers(ctx context.Context) {
	marks := slices.DeleteFunc(c.params.Crashes.Unshared(), func(m poison.Mark) bool { return c.notified[m] })
	hosts := c.params.Peers.Hosts()
	if len(marks) == 0 || len(hosts) == 0 {
		return
	}
	marks = marks[:min(len(marks), maxBatch)]
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	ctx, cancel := context.WithTimeout(ctx, notifyTotalTimeout)
	defer cancel()
	var reached, asked atomic.Int64
	var calls sync.WaitGroup
	slots := make(chan struct{}, notifyConcurrency)
	for _, host := range hosts {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			isRelay := asked.Add(1) <= maxRelays
			if err := c.params.Peers.Notify(ctx, host, marks, isRelay); err != nil {
				if isRelay {
					asked.Add(-1)
				}
				c.log.V(1).Info("Host could not be notified of crashes.", "host", host, "cause", err.Error())
				return
			}
			reached.Add(1)
		})
	}
	calls.Wait()
	if reached.Load() > 0 {
		for _, m := range marks {
			c.notified[m] = true
		}
	}
	c.log.Info("Other hosts were notified of crashes.", "count", len(marks), "hosts", len(hosts), "reached", reached.Load())
}

// waitForChange waits for new marks to write. It removes expired ones from the log if
// there are any.
func (c *CrashLog) waitForChange(ctx context.Context) {
	select {
	case <-c.params.Crashes.Changed():
	case keys := <-c.expired:
		c.removeExpired(ctx, keys)
	case <-ctx.Done():
	}
}

// write writes marks to the log. It returns true if the store has confirmed them.
func (c *CrashLog) write(ctx context.Context, marks []poison.Mark) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	started := time.Now()
	records := make([]port.KeyedRecord, 0, len(marks))
	for _, m := range marks {
		value, err := proto.Marshal(poison.ToWire(m, c.params.Host))
		if err != nil {
			c.log.Error(err, "Crash could not be encoded and is not shared.", "target", m.Target)
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
	c.log.Info("Crashes were written to the shared log.", "count", len(marks), "ms", time.Since(started).Milliseconds())
	return true
}

// observe logs when writes begin to fail and when they succeed again.
func (c *CrashLog) observe(err error) {
	switch {
	case err != nil && c.failingSince.IsZero():
		c.failingSince = time.Now()
		c.log.Info("Store does not accept crashes.", "cause", err.Error())
	case err == nil && !c.failingSince.IsZero():
		c.log.Info("Store accepts crashes again.", "away", time.Since(c.failingSince).String())
		c.failingSince = time.Time{}
	}
}

// removeCleared removes marks from the log whose content this host has cleared. It
// returns false if the store has not confirmed it.
func (c *CrashLog) removeCleared(ctx context.Context) bool {
	marks := c.params.Crashes.Cleared()
	if len(marks) == 0 {
		return true
	}
	marks = marks[:min(len(marks), maxBatch)]
	keys := make([]string, len(marks))
	for i, m := range marks {
		keys[i] = crashKey(m)
	}
	err := c.remove(ctx, keys)
	c.observe(err)
	if err != nil {
		return false
	}
	c.params.Crashes.ConfirmCleared(marks)
	c.log.Info("Crashes of cleared content were removed.", "count", len(keys))
	return true
}

// removeExpired removes expired marks from the log.
func (c *CrashLog) removeExpired(ctx context.Context, keys []string) {
	if err := c.remove(ctx, keys); err != nil {
		c.log.Info("Expired crashes could not be removed; the removal will be retried.", "count", len(keys), "cause", err.Error())
		return
	}
	c.log.Info("Expired crashes were removed.", "count", len(keys))
}

func (c *CrashLog) remove(ctx context.Context, keys []string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	records := make([]port.KeyedRecord, len(keys))
	for i, key := range keys {
		records[i].Key = key
	}
	return c.params.Put(ctx, records)
}

// fingerprintDigits is the number of hexadecimal digits that begin a key.
const fingerprintDigits = 16

// crashKey returns the key of a mark, which begins with the fingerprint of its content. It
// is the same for all marks of one crash on one content.
func crashKey(m poison.Mark) string {
	run := m.CrashKey()
	return fmt.Sprintf("%016x-%016x", m.Fingerprint, xxhash.Sum64String(fmt.Sprint(run.Target, "/", run.Run, "/", run.At)))
}

func (c *CrashLog) reset(records []port.KeyedRecord) {
	removed := maps.Clone(c.marks)
	for _, r := range records {
		delete(removed, r.Key)
	}
	for key := range removed {
		c.forget(key)
	}
	for _, r := range records {
		c.apply(r)
	}
}

func (c *CrashLog) apply(r port.KeyedRecord) {
	if len(r.Value) == 0 {
		c.forget(r.Key)
		return
	}
	var m quarantine.Crash
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		c.log.Info("Record of a crash is invalid and was skipped.", "key", r.Key, "cause", errors.Trace(err).Error())
		return
	}
	mark := poison.FromWire(&m)
	c.marks[r.Key] = mark
	c.params.Crashes.Receive(m.GetHost(), []poison.Mark{mark})
}

// forget removes the mark of a key that is no longer in the log. The mark may have come
// from another host before the log carried it.
func (c *CrashLog) forget(key string) {
	delete(c.marks, key)
	fingerprint, err := strconv.ParseUint(key[:min(len(key), fingerprintDigits)], 16, 64)
	if err != nil {
		return // another writer's key, whose record was skipped
	}
	c.params.Crashes.Remove(fingerprint, func(m poison.Mark) bool { return crashKey(m) == key })
}

// retention returns how long a mark stays in the log.
func (c *CrashLog) retention(m poison.Mark) time.Duration {
	if c.params.Crashes.IsQuarantined(func() uint64 { return m.Fingerprint }) {
		return quarantineRetention
	}
	return crashRetention
}

// afterRead searches for expired marks about every sweepInterval and passes them to the
// writer.
func (c *CrashLog) afterRead(now time.Time) {
	if c.sweepAt.IsZero() {
		c.sweepAt = now.Add(time.Duration(rand.Float64() * float64(sweepInterval)))
	}
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(time.Duration((0.5 + rand.Float64()) * float64(sweepInterval)))
	var keys []string
	for key, m := range c.marks {
		if now.Sub(time.Unix(0, m.At)) > c.retention(m) && len(keys) < maxBatch {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	select {
	case c.expired <- keys:
	default: // an earlier removal is still in progress
	}
}

func (c *CrashLog) storeRecovered(time.Time) {}
