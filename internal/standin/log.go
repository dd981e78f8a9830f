package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"yuccausher/internal/port"
)

const (
	// pageRecords and pageBytes bound one answer to a read.
	pageRecords = 4096
	pageBytes   = 4 << 20
)

// LogOptions sets up a log. Zero values mean no latency, no rate limit and
// records kept for ever.
type LogOptions struct {
	// Latency is the time of an append; half of it passes before the append
	// takes effect.
	Latency time.Duration
	// RatePerSecond bounds the appends of all clients together.
	RatePerSecond float64
	Retention     time.Duration
}

// LogCounts counts what a log has taken.
type LogCounts struct {
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
}

// Log is an append-only log in memory. It implements port.Log.
type Log struct {
	options LogOptions
	limiter *rate.Limiter

	mu        sync.Mutex
	streams   map[string]*stream
	counts    LogCounts
	downUntil time.Time
	slowUntil time.Time
	slowBy    time.Duration
	lostAcks  int
}

type stream struct {
	records []port.Record
	end     int64
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog(options LogOptions) *Log {
	limit := rate.Inf
	if options.RatePerSecond > 0 {
		limit = rate.Limit(options.RatePerSecond)
	}
	return &Log{
		options: options,
		limiter: rate.NewLimiter(limit, max(1, int(options.RatePerSecond))),
		streams: make(map[string]*stream),
	}
}

// Down makes the log fail for d. A zero d ends an outage.
func (l *Log) Down(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = time.Now().Add(d)
	for _, s := range l.streams {
		s.wake()
	}
}

// Slow adds extra to the time of each append and read for d.
func (l *Log) Slow(d, extra time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowUntil = time.Now().Add(d)
	l.slowBy = extra
}

// LostAck makes the next n appends take effect and then lose their answers.
func (l *Log) LostAck(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostAcks = n
}

// Counts returns how many appends and records the log has taken.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if len(records) == 0 {
		return 0, logError("append", name, ReasonNoRecords)
	}
	if err := sleep(ctx, l.latency()/2); err != nil {
		return 0, ambiguous(name, err)
	}
	offset, err := l.append(name, records)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, l.latency()/2); err != nil {
		return 0, ambiguous(name, err)
	}
	return offset, nil
}

// append writes the records, unless a fault forbids it.
func (l *Log) append(name string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.downUntil) {
		return 0, ambiguous(name, ReasonDown)
	}
	if !l.limiter.Allow() {
		return 0, &port.LogError{Op: "append", Stream: name, RateLimited: true, Cause: ReasonRateLimit}
	}
	s := l.stream(name)
	s.trim(now, l.options.Retention)
	offset := s.end
	for _, data := range records {
		s.records = append(s.records, port.Record{Offset: s.end, AppendedAt: now, Data: slices.Clone(data)})
		s.end++
	}
	s.wake()
	l.counts.Appends++
	l.counts.Records += int64(len(records))
	if l.lostAcks > 0 {
		l.lostAcks--
		return 0, ambiguous(name, ReasonLostAnswer)
	}
	return offset, nil
}

// Read implements port.Log. The records' data is shared and must not be
// changed.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (port.Page, error) {
	if err := sleep(ctx, l.extra()); err != nil {
		return port.Page{}, logError("read", name, err)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, err := l.read(name, from)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return port.Page{}, logError("read", name, ctx.Err())
		}
	}
}

// read returns what is there, and a channel that is closed at the next change.
func (l *Log) read(name string, from int64) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.downUntil) {
		return port.Page{}, nil, logError("read", name, ReasonDown)
	}
	s := l.stream(name)
	s.trim(now, l.options.Retention)
	return s.page(from), s.changed, nil
}

// stream returns the stream of that name. The lock must be held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// latency returns the present time of an append.
func (l *Log) latency() time.Duration { return l.options.Latency + l.extra() }

// extra returns the time that a slow log adds.
func (l *Log) extra() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.slowUntil) {
		return l.slowBy
	}
	return 0
}

// wake ends the waits of readers.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops records that are older than the retention.
func (s *stream) trim(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	limit := now.Add(-retention)
	n := 0
	for n < len(s.records) && s.records[n].AppendedAt.Before(limit) {
		n++
	}
	s.records = s.records[n:]
}

// page returns the kept records from offset from on.
func (s *stream) page(from int64) port.Page {
	oldest := s.end - int64(len(s.records))
	page := port.Page{Oldest: oldest, End: s.end}
	skip := max(from-oldest, 0)
	if skip >= int64(len(s.records)) {
		return page
	}
	page.Records = firstPage(s.records[skip:])
	return page
}

func firstPage(records []port.Record) []port.Record {
	size := 0
	for i := range records {
		size += len(records[i].Data)
		if i > 0 && (size > pageBytes || i == pageRecords) {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}

func logError(op, name string, cause error) *port.LogError {
	return &port.LogError{Op: op, Stream: name, Cause: cause}
}

func ambiguous(name string, cause error) *port.LogError {
	return &port.LogError{Op: "append", Stream: name, Ambiguous: true, Cause: cause}
}
