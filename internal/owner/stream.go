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
	// readWait is how long a read waits for new records.
	readWait = time.Second
	// readTimeout bounds a read as a whole.
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

	// current is set while the last read reached the end of the stream.
	caughtUp atomic.Bool
	// confirmed is when the last read began that reached the end.
	lastCompleteRead atomic.Pointer[time.Time]
	// tried is up to when reads followed the stream, missed whether the host may have
	// lacked sight of the stream since the last whole read: an owner that was
	// paused can't tell whether it has a successor while reads fail.
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

// noteTry looks whether a failed read left the stream out of sight for long. A
// whole read tells what was there when it began.
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

// isBlind says whether the stream was or is out of sight for so long that this
// host may have a successor.
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

// GapError says that a page lacks the next record although there is one.
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

// restart begins anew at an offset, since the records before it were trimmed.
func (t *stream) reset(floor int64) {
	if t.nextOffset > 0 {
		t.logger.Info("Records were trimmed unread.", "stream", t.name, "next", t.nextOffset, "oldest", floor)
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
		t.logger.Info("Record can't be read.", "stream", t.name, "offset", r.Offset)
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

// awaitFresh waits until the log was read lately. An owner that was paused,
// or is cut off from the log, may have a successor that it knows nothing of.
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

func (t *stream) leaseValid() bool {
	at := t.lastCompleteRead.Load()
	return at != nil && time.Since(*at) < t.service.params.Settings.SliceLease
}
