package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// readWait is how long a read waits for new records at the end of the stream.
	readWait = time.Second
	// readTimeout bounds a read, including readWait.
	readTimeout = 5 * time.Second
)

// stream follows one state stream and applies its records to the partitions.
type stream struct {
	service *Service
	name    string
	writer  *writer
	logger  logr.Logger

	// Only the tailer's goroutine uses these.
	sequences  ledger.LastSequences
	nextOffset int64

	// caughtUp is set if the last read reached the end of the stream.
	caughtUp atomic.Bool
	// lastCompleteRead is the start of the last read that reached the end.
	lastCompleteRead atomic.Pointer[time.Time]
	// lastContact is the start of the last successful read or the end of the last
	// failed one. contactLost is set if the time since lastContact has exceeded
	// staleAfter since the last complete read: an owner that was paused cannot
	// tell whether it has a successor while reads fail.
	lastContact atomic.Pointer[time.Time]
	contactLost atomic.Bool
	// applied is the offset up to which records are in the state.
	applied atomic.Int64
}

func newStream(s *Service, name string) *stream {
	return &stream{
		service:   s,
		name:      name,
		writer:    newWriter(s, name),
		logger:    s.params.Logger.WithName("tailer"),
		sequences: make(ledger.LastSequences),
	}
}

// tail reads the stream until the context ends.
func (t *stream) tail(ctx context.Context) {
	pause := retryPauseMin
	for ctx.Err() == nil {
		begun := time.Now()
		err := t.read(ctx)
		if err == nil && t.caughtUp.Load() {
			t.lastCompleteRead.Store(&begun)
			t.contactLost.Store(false)
		}
		t.noteRead(begun, err)
		if err == nil {
			pause = retryPauseMin
			continue
		}
		t.service.count("log_read_failures")
		t.logger.V(1).Info("Read failed.", "stream", t.name, "error", err.Error())
		sleep(ctx, pause)
		pause = min(2*pause, retryPauseMax)
	}
}

// noteRead updates lastContact and contactLost after a read that began at begun. A
// successful read shows the stream as it was when the read began.
func (t *stream) noteRead(begun time.Time, err error) {
	if err == nil {
		t.lastContact.Store(&begun)
		return
	}
	if t.mayHaveSuccessor() {
		t.contactLost.Store(true)
	}
	now := time.Now()
	t.lastContact.Store(&now)
}

// mayHaveSuccessor reports whether the host was without contact to the stream for so
// long that another host may have claimed its partitions.
func (t *stream) mayHaveSuccessor() bool {
	at := t.lastContact.Load()
	return at == nil || t.contactLost.Load() || time.Since(*at) >= staleAfter
}

func (t *stream) read(ctx context.Context) error {
	wait := readWait
	if !t.caughtUp.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := t.service.params.Log.Read(ctx, t.name, t.nextOffset, wait)
	if err != nil {
		return err
	}
	before := t.nextOffset
	t.applyPage(page)
	if t.nextOffset == before && !t.caughtUp.Load() {
		return &port.LogError{Op: "read", Stream: t.name, Cause: &GapError{Next: before, End: page.End}}
	}
	return nil
}

// GapError reports that a page lacks the record at offset Next although the stream
// extends to End.
type GapError struct{ Next, End int64 }

// Error implements error.
func (e *GapError) Error() string { return "page lacks the next record" }

func (t *stream) applyPage(page port.Page) {
	if page.Oldest > t.nextOffset {
		t.reset(page.Oldest)
	}
	for _, r := range page.Records {
		if r.Offset < t.nextOffset {
			continue
		}
		if r.Offset > t.nextOffset {
			t.logger.Info("Page has a gap.", "stream", t.name, "offset", r.Offset)
			t.service.count("log_page_gaps")
			t.caughtUp.Store(false)
			return
		}
		t.apply(r)
		t.nextOffset = r.Offset + 1
		t.applied.Store(t.nextOffset)
	}
	caughtUp := t.nextOffset >= page.End
	if caughtUp && !t.caughtUp.Swap(true) {
		t.service.claimsChanged()
	}
	if !caughtUp {
		t.caughtUp.Store(false)
	}
}

// reset discards the state and continues at offset floor, since the records before
// it were trimmed.
func (t *stream) reset(floor int64) {
	if t.nextOffset > 0 {
		t.logger.Info("Records were trimmed before they were read.", "stream", t.name, "next", t.nextOffset, "oldest", floor)
		t.service.count("log_trimmed_unread")
	}
	t.nextOffset = floor
	t.applied.Store(floor)
	t.sequences = make(ledger.LastSequences)
	for _, p := range t.service.partitionsOf(t) {
		p.reset(floor)
	}
	t.writer.discardUnconfirmed()
}

func (t *stream) apply(r port.Record) {
	e, ok := ledger.Decode(r)
	layout := t.service.layout.Load()
	if !ok || e.Record.Partition >= uint32(len(layout.partitions)) {
		t.countVerdict(ledger.Garbage)
		t.logger.Info("Record cannot be decoded or has no partition.", "stream", t.name, "offset", r.Offset)
		return
	}
	v := ledger.Duplicate
	if t.sequences.Advance(e) {
		v = t.applyEntry(layout.partitions[e.Record.Partition], e)
	}
	t.countVerdict(v)
	if t.service.isSelf(e.Writer()) && v != ledger.Duplicate {
		t.writer.confirm(e.Record.Sequence, v)
	}
}

func (t *stream) applyEntry(p *partitionState, e ledger.Entry) ledger.Verdict {
	if q, ok := e.Record.Body.(*record.Record_Quarantine); ok {
		t.service.applyQuarantine(q.Quarantine.Fingerprint, e.AppendedAt)
		return ledger.Applied
	}
	if p.stream != t {
		return ledger.Garbage
	}
	return p.apply(e)
}

func (t *stream) countVerdict(v ledger.Verdict) {
	t.service.params.Metrics.Tagged(map[string]string{"verdict": string(v)}).Counter("ledger_records").Inc(1)
}

// awaitLease waits until the lease on the escrow is valid, up to Settings.ClaimWait,
// and returns a *fault.Fault after that. An owner that was paused, or has no
// connection to the log, may have a successor that it has not read of yet.
func (t *stream) awaitLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.service.params.Settings.ClaimWait)
	defer cancel()
	for !t.leaseValid() {
		if !sleep(ctx, retryPauseMin) {
			t.service.count("dispatches_without_log")
			return logUnavailable(fault.NotRun)
		}
	}
	return nil
}

// leaseValid reports whether the last complete read began less than
// Settings.SliceLease ago.
func (t *stream) leaseValid() bool {
	at := t.lastCompleteRead.Load()
	return at != nil && time.Since(*at) < t.service.params.Settings.SliceLease
}
