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
	s      *Service
	name   string
	writer *writer
	logger logr.Logger

	// Only the tailer's goroutine uses these.
	marks ledger.LastSequences
	next  int64

	// current is set while the last read reached the end of the stream.
	current atomic.Bool
	// confirmed is when the last read began that reached the end.
	confirmed atomic.Pointer[time.Time]
	// tried is up to when reads followed the stream, missed whether the host may have
	// lacked sight of the stream since the last whole read: an owner that was
	// paused can't tell whether it has a successor while reads fail.
	tried  atomic.Pointer[time.Time]
	missed atomic.Bool
	// applied is the offset up to which records are in the state.
	applied atomic.Int64
}

func newStream(s *Service, name string) *stream {
	return &stream{
		s:      s,
		name:   name,
		writer: newWriter(s, name),
		logger: s.p.Logger.WithName("tailer"),
		marks:  make(ledger.LastSequences),
	}
}

// tail reads the stream until the context ends.
func (t *stream) tail(ctx context.Context) {
	pause := retryPauseMin
	for ctx.Err() == nil {
		begun := time.Now()
		err := t.read(ctx)
		if err == nil && t.current.Load() {
			t.confirmed.Store(&begun)
			t.missed.Store(false)
		}
		t.noteTry(begun, err)
		if err == nil {
			pause = retryPauseMin
			continue
		}
		t.s.count("log_read_failures")
		t.logger.V(1).Info("Read failed.", "stream", t.name, "error", err.Error())
		sleep(ctx, pause)
		pause = min(2*pause, retryPauseMax)
	}
}

// noteTry looks whether a failed read left the stream out of sight for long. A
// whole read tells what was there when it began.
func (t *stream) noteTry(begun time.Time, err error) {
	if err == nil {
		t.tried.Store(&begun)
		return
	}
	if t.isBlind() {
		t.missed.Store(true)
	}
	now := time.Now()
	t.tried.Store(&now)
}

// isBlind says whether the stream was or is out of sight for so long that this
// host may have a successor.
func (t *stream) isBlind() bool {
	at := t.tried.Load()
	return at == nil || t.missed.Load() || time.Since(*at) >= staleAfter
}

func (t *stream) read(ctx context.Context) error {
	wait := readWait
	if !t.current.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := t.s.p.Log.Read(ctx, t.name, t.next, wait)
	if err != nil {
		return err
	}
	before := t.next
	t.take(page)
	if t.next == before && !t.current.Load() {
		return &port.LogError{Op: "read", Stream: t.name, Cause: &GapError{Next: before, End: page.End}}
	}
	return nil
}

// GapError says that a page lacks the next record although there is one.
type GapError struct{ Next, End int64 }

// Error implements error.
func (e *GapError) Error() string { return "page lacks the next record" }

func (t *stream) take(page port.Page) {
	if page.Oldest > t.next {
		t.restart(page.Oldest)
	}
	for _, r := range page.Records {
		if r.Offset < t.next {
			continue
		}
		if r.Offset > t.next {
			t.logger.Info("Page has a gap.", "stream", t.name, "offset", r.Offset)
			t.s.count("log_page_gaps")
			t.current.Store(false)
			return
		}
		t.apply(r)
		t.next = r.Offset + 1
		t.applied.Store(t.next)
	}
	caughtUp := t.next >= page.End
	if caughtUp && !t.current.Swap(true) {
		t.s.claimsChanged()
	}
	if !caughtUp {
		t.current.Store(false)
	}
}

// restart begins anew at an offset, since the records before it were trimmed.
func (t *stream) restart(floor int64) {
	if t.next > 0 {
		t.logger.Info("Records were trimmed unread.", "stream", t.name, "next", t.next, "oldest", floor)
		t.s.count("log_trimmed_unread")
	}
	t.next = floor
	t.applied.Store(floor)
	t.marks = make(ledger.LastSequences)
	for _, p := range t.s.partitionsOf(t) {
		p.restart(floor)
	}
	t.writer.lose()
}

func (t *stream) apply(r port.Record) {
	e, ok := ledger.Decode(r)
	layout := t.s.layout.Load()
	if !ok || e.Record.Partition >= uint32(len(layout.parts)) {
		t.countVerdict(ledger.Garbage)
		t.logger.Info("Record can't be read.", "stream", t.name, "offset", r.Offset)
		return
	}
	v := ledger.Duplicate
	if t.marks.Advance(e) {
		v = t.applyEntry(layout.parts[e.Record.Partition], e)
	}
	t.countVerdict(v)
	if t.s.isSelf(e.Writer()) && v != ledger.Duplicate {
		t.writer.settle(e.Record.Sequence, v)
	}
}

func (t *stream) applyEntry(p *part, e ledger.Entry) ledger.Verdict {
	if q, ok := e.Record.Body.(*record.Record_Quarantine); ok {
		t.s.quarantined(q.Quarantine.Fingerprint, e.AppendedAt)
		return ledger.Applied
	}
	if p.stream != t {
		return ledger.Garbage
	}
	return p.apply(e)
}

func (t *stream) countVerdict(v ledger.Verdict) {
	t.s.p.Metrics.Tagged(map[string]string{"verdict": string(v)}).Counter("ledger_records").Inc(1)
}

// awaitFresh waits until the log was read lately. An owner that was paused,
// or is cut off from the log, may have a successor that it knows nothing of.
func (t *stream) awaitFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.s.p.Settings.ClaimWait)
	defer cancel()
	for !t.fresh() {
		if !sleep(ctx, retryPauseMin) {
			t.s.count("dispatches_without_log")
			return logUnavailable(fault.NotRun)
		}
	}
	return nil
}

func (t *stream) fresh() bool {
	at := t.confirmed.Load()
	return at != nil && time.Since(*at) < t.s.p.Settings.SliceLease
}
