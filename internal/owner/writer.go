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
	// batchRecords and batchBytes bound one append.
	maxBatchRecords = 1000
	maxBatchBytes   = 4 << 20
	// retryPauseMin and retryPauseMax bound the pause after a failed append.
	retryPauseMin = 50 * time.Millisecond
	retryPauseMax = time.Second
)

// lost is the verdict on a record whose place in the stream was trimmed
// before it was read.
const verdictLost ledger.Verdict = "lost"

// unwritten is the verdict on a record that provably never reached the log.
const verdictUnwritten ledger.Verdict = "unwritten"

// Appender adds records to a stream. The log implements it; so may a client
// of another host that gathers the records of many.
type Appender interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
}

// pending is a record on its way into the stream.
type pending struct {
	rec *record.Record
	// done is closed when the record was seen, with its verdict.
	done    chan struct{}
	verdict ledger.Verdict
	// late is called with the verdict if nobody waits any more. The writer's
	// lock guards it.
	onLateVerdict func(ledger.Verdict)
}

// writer appends records in groups: one append is under way while the next
// group gathers.
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

// submit queues a record. It never blocks.
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

// abandon gives up on a record. It returns true if the record will never be
// in the stream; otherwise late gets the verdict once there is one.
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

// settle tells the writer that one of its records was seen.
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

// lose settles all records that may lie in a part of the stream that was
// trimmed unread.
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

// appendNext appends one group and says whether there was one.
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

// take removes the next group from the queue and numbers its records.
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

// encode returns the records that can be encoded, and their bytes.
func (w *writer) encode(batch []*pending) ([]*pending, [][]byte) {
	var good []*pending
	var data [][]byte
	for _, p := range batch {
		b, err := proto.Marshal(p.rec)
		if err != nil {
			w.logger.Error(err, "Record can't be encoded.")
			w.confirm(p.rec.Sequence, verdictUnwritten)
			continue
		}
		good = append(good, p)
		data = append(data, b)
	}
	return good, data
}

// sleep waits and says whether the context lives on.
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
