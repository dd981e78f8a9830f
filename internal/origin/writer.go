package origin

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
	pb "yuccausher/internal/gen/origin"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// writeTimeout limits one append. The store takes milliseconds, and 60 times as long when it
	// is slow.
	writeTimeout = 500 * time.Millisecond
	// writeRetry is the pause after a failed append.
	writeRetry = 100 * time.Millisecond
	// finalWriteTimeout limits the last append when the host stops.
	finalWriteTimeout = 200 * time.Millisecond
	// maxBatch limits the streams of one append, 9 bytes each.
	maxBatch = 1 << 12
	// maxQueue limits the streams that wait to be written. A stream without a record is not
	// taken up by other hosts.
	maxQueue = 1 << 14
	// writeShare is the share of the store's writing calls that all hosts together may use for
	// the starts of streams.
	writeShare = 0.5
	// defaultWriteInterval is the least interval between two appends of a host if the limit of
	// the store is not known.
	defaultWriteInterval = 50 * time.Millisecond
)

// writeInterval returns the least interval between two appends of this host.
func (s *Service) writeInterval() time.Duration {
	if s.params.WritesPerSecond <= 0 {
		return defaultWriteInterval
	}
	perSecond := writeShare * s.params.WritesPerSecond
	return time.Duration(float64(s.params.Hosts()) / perSecond * float64(time.Second))
}

type writerParams struct {
	log       port.SharedLog
	partition port.Partition
	interval  func() time.Duration
	logger    logr.Logger
	metrics   *metrics
}

// writer appends the starts of this host's streams to the shared log.
type writer struct {
	writerParams
	wake chan struct{}

	mu    sync.Mutex
	queue []pending
	// failingSince is when appends began to fail. Only the goroutine of run uses it.
	failingSince time.Time
}

// pending is a start that waits to be written.
type pending struct {
	start origin.Start
	done  written
}

// written is closed once a start is in the shared log.
type written chan struct{}

// wait waits until the start is in the log.
func (w written) wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "wait for an append")
	}
}

func newWriter(p writerParams) *writer { return &writer{writerParams: p, wake: make(chan struct{}, 1)} }

// add schedules a start to be written.
func (w *writer) add(s origin.Start) written {
	p := pending{start: s, done: make(written)}
	w.mu.Lock()
	if len(w.queue) >= maxQueue {
		w.queue = w.queue[1:]
		w.metrics.dropped.Inc(1)
	}
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // run will look at the queue already
	}
	return p.done
}

// run writes starts until ctx ends, and then those that are left.
func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-w.wake:
			w.writeAll(ctx)
		}
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	w.write(final, w.next())
}

// writeAll writes until the queue is empty.
func (w *writer) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		batch := w.next()
		if len(batch) == 0 {
			return
		}
		if !w.write(ctx, batch) {
			tail.Sleep(ctx, writeRetry)
			continue
		}
		if rest := w.interval() - time.Since(started); rest > 0 {
			tail.Sleep(ctx, rest)
		}
	}
}

// next returns the starts to write next. They stay in the queue until they are written.
func (w *writer) next() []pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue[:min(len(w.queue), maxBatch):min(len(w.queue), maxBatch)]
}

// write writes a batch from the front of the queue. It returns false if the store has not
// confirmed it.
func (w *writer) write(ctx context.Context, batch []pending) bool {
	if len(batch) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	started := time.Now()
	data, err := proto.Marshal(encode(batch, started))
	if err == nil {
		_, err = w.log.Append(ctx, w.partition, [][]byte{data})
	}
	w.observe(err)
	if err != nil {
		return false
	}
	w.metrics.recordWrite(len(batch), time.Since(started))
	w.remove(batch)
	return true
}

// remove removes a batch that was written from the queue, whose front may have been dropped
// meanwhile.
func (w *writer) remove(batch []pending) {
	isWritten := make(map[written]bool, len(batch))
	for _, p := range batch {
		isWritten[p.done] = true
		close(p.done)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	rest := make([]pending, 0, len(w.queue))
	for _, p := range w.queue {
		if !isWritten[p.done] {
			rest = append(rest, p)
		}
	}
	w.queue = rest
}

// observe logs when appends begin to fail and when they succeed again.
func (w *writer) observe(err error) {
	switch {
	case err != nil && w.failingSince.IsZero():
		w.failingSince = time.Now()
		w.logger.Info("Store does not accept starts of streams.", "cause", err.Error())
	case err == nil && !w.failingSince.IsZero():
		w.logger.Info("Store accepts starts of streams again.", "away", time.Since(w.failingSince).String())
		w.failingSince = time.Time{}
	}
	if err != nil {
		w.metrics.writeFailures.Inc(1)
	}
}

// encode groups the starts of a batch by release.
func encode(batch []pending, now time.Time) *pb.Batch {
	type groupKey struct {
		release fleet.Release
		change  uint32
	}
	groups := make(map[groupKey]*pb.Group)
	b := &pb.Batch{WrittenAt: now.UnixMilli()}
	for _, p := range batch {
		key := groupKey{release: p.start.Release, change: p.start.Change}
		g := groups[key]
		if g == nil {
			g = &pb.Group{Service: key.release.Service, Version: key.release.Version, Change: key.change}
			groups[key] = g
			b.Groups = append(b.Groups, g)
		}
		g.Streams = append(g.Streams, uint64(p.start.Stream))
	}
	return b
}
