package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// maxBatchRecords and maxBatchBytes bound one append. A single larger record is
	// appended alone.
	maxBatchRecords = 1000
	maxBatchBytes   = 4 << 20
	// retryPauseMin and retryPauseMax bound the pause after a failed append or
	// read.
	retryPauseMin = 50 * time.Millisecond
	retryPauseMax = time.Second
)

// verdictLost is the verdict on a record that may have been trimmed from the stream
// before it was read.
const verdictLost ledger.Verdict = "lost"

// verdictUnwritten is the verdict on a record that provably never reached the log.
const verdictUnwritten ledger.Verdict = "unwritten"

// Appender appends records to a stream. It is implemented by the log and by clients
// of a host that batches the records of several hosts.
type Appender interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// pending is a submitted record.
type pending struct {
	rec *record.Record
	// done is closed once verdict is set, which is when the record was read back
	// from the stream or can no longer be.
	done    chan struct{}
	verdict ledger.Verdict
	// onLateVerdict is called with the verdict if the record was abandoned. The
	// writer's mu guards it.
	onLateVerdict func(ledger.Verdict)
}

// writer appends records in batches. The next batch is collected while an append is
// in progress.
type writer struct {
	log     Appender
	stream  string
	self    port.Host
	limiter *rate.Limiter
	timeout time.Duration
	logger  logr.Logger
	metrics tally.Scope

	mu           sync.Mutex
	queue        []*pending
	unconfirmed  map[uint64]*pending
	lastSequence uint64
	queued       chan struct{}
	// pause is the wait after the next failure. Only run's goroutine uses it.
	pause time.Duration
}

func newWriter(s *Service, stream string) *writer {
	return &writer{
		log:         s.params.Appender,
		stream:      stream,
		self:        s.params.Members.Self(),
		limiter:     s.limiter,
		timeout:     s.params.Settings.AppendTimeout,
		logger:      s.params.Logger.WithName("writer"),
		metrics:     s.params.Metrics,
		unconfirmed: make(map[uint64]*pending),
		queued:      make(chan struct{}, 1),
		pause:       retryPauseMin,
	}
}

// submit queues a record and sets its writer. It never blocks.
func (w *writer) submit(rec *record.Record) *pending {
	rec.Host = w.self.ID
	rec.Incarnation = w.self.Incarnation
	p := &pending{rec: rec, done: make(chan struct{})}
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	w.wake()
	return p
}

func (w *writer) wake() {
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

// abandon stops waiting for a record. It returns true if the record will never be in
// the stream. Otherwise late is called with the verdict once there is one.
func (w *writer) abandon(p *pending, late func(ledger.Verdict)) bool {
	w.mu.Lock()
	for i, q := range w.queue {
		if q == p {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			w.mu.Unlock()
			return true
		}
	}
	select {
	case <-p.done:
		w.mu.Unlock()
		late(p.verdict)
	default:
		p.onLateVerdict = late
		w.mu.Unlock()
	}
	return false
}

// confirm completes the record with that sequence after it was read back.
func (w *writer) confirm(sequence uint64, v ledger.Verdict) {
	w.mu.Lock()
	p := w.unconfirmed[sequence]
	delete(w.unconfirmed, sequence)
	w.mu.Unlock()
	if p != nil {
		w.complete(p, v)
	}
}

func (w *writer) complete(p *pending, v ledger.Verdict) {
	w.mu.Lock()
	p.verdict = v
	close(p.done)
	late := p.onLateVerdict
	w.mu.Unlock()
	if late != nil {
		late(v)
	}
}

// discardUnconfirmed completes all records that may have been trimmed from the
// stream before they were read, with verdictLost.
func (w *writer) discardUnconfirmed() {
	w.mu.Lock()
	all := w.unconfirmed
	w.unconfirmed = make(map[uint64]*pending)
	w.mu.Unlock()
	for _, p := range all {
		w.complete(p, verdictLost)
	}
}

// run appends until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.queued:
		}
		for w.appendNext(ctx) {
		}
	}
}

// appendNext appends the next batch. It returns false if the queue is empty or the
// writer has to stop.
func (w *writer) appendNext(ctx context.Context) bool {
	if w.empty() || w.limiter.Wait(ctx) != nil {
		return false
	}
	batch := w.nextBatch()
	if len(batch) == 0 {
		return false
	}
	batch, data := w.encode(batch)
	if len(batch) == 0 {
		return true
	}
	return w.appendBatch(ctx, batch, data)
}

func (w *writer) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0
}

// nextBatch removes the next batch from the queue and numbers its records.
func (w *writer) nextBatch() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) && n < maxBatchRecords && (n == 0 || size < maxBatchBytes) {
		size += proto.Size(w.queue[n].rec)
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	for _, p := range batch {
		w.lastSequence++
		p.rec.Sequence = w.lastSequence
		w.unconfirmed[w.lastSequence] = p
	}
	return batch
}

// encode returns the records that can be encoded, and their encodings. The others
// are completed as unwritten.
func (w *writer) encode(batch []*pending) ([]*pending, [][]byte) {
	var good []*pending
	var data [][]byte
	for _, p := range batch {
		b, err := proto.Marshal(p.rec)
		if err != nil {
			w.logger.Error(err, "Record cannot be encoded.")
			w.confirm(p.rec.Sequence, verdictUnwritten)
			continue
		}
		good = append(good, p)
		data = append(data, b)
	}
	return good, data
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
