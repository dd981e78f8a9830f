package metrics

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/port"
)

// appendLatencyBuckets are the histogram buckets of the duration of an append.
var appendLatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// InstrumentedLog wraps a port.Log and records metrics of its calls.
type InstrumentedLog struct {
	port.Log
	appends      tally.Counter
	records      tally.Counter
	latency      tally.Histogram
	refused      tally.Counter
	rateLimited  tally.Counter
	ambiguous    tally.Counter
	readFailures tally.Counter
	scope        tally.Scope
	// lagGauges holds a tally.Gauge per stream name.
	lagGauges sync.Map
}

// InstrumentLog wraps inner and records the metrics of its calls in scope.
func InstrumentLog(inner port.Log, scope tally.Scope) *InstrumentedLog {
	s := scope.SubScope("log")
	failures := func(kind string) tally.Counter {
		return s.Tagged(map[string]string{"kind": kind}).Counter("append_failures")
	}
	return &InstrumentedLog{
		Log:          inner,
		appends:      s.Counter("appends"),
		records:      s.Counter("records"),
		latency:      s.Histogram("append", appendLatencyBuckets),
		refused:      failures("refused"),
		rateLimited:  failures("limited"),
		ambiguous:    failures("ambiguous"),
		readFailures: s.Counter("read_failures"),
		scope:        s,
	}
}

// Append implements port.Log.
func (l *InstrumentedLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	started := time.Now()
	offset, err := l.Log.Append(ctx, stream, records)
	l.appends.Inc(1)
	l.records.Inc(int64(len(records)))
	l.latency.RecordDuration(time.Since(started))
	if err != nil {
		l.countFailure(err)
	}
	return offset, err
}

func (l *InstrumentedLog) countFailure(err error) {
	var failure *port.LogError
	switch {
	case !errors.As(err, &failure) || failure.Ambiguous:
		l.ambiguous.Inc(1)
	case failure.RateLimited:
		l.rateLimited.Inc(1)
	default:
		l.refused.Inc(1)
	}
}

// Read implements port.Log.
func (l *InstrumentedLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, wait)
	switch {
	case err == nil:
		l.lagGauge(stream).Update(float64(lag(page, from)))
	case ctx.Err() == nil:
		l.readFailures.Inc(1)
	}
	return page, err
}

// lag returns the number of records in the stream after a page read at offset from.
func lag(page port.Page, from int64) int64 {
	next := from
	if n := len(page.Records); n > 0 {
		next = page.Records[n-1].Offset + 1
	}
	return max(0, page.End-next)
}

func (l *InstrumentedLog) lagGauge(stream string) tally.Gauge {
	if g, ok := l.lagGauges.Load(stream); ok {
		return g.(tally.Gauge)
	}
	g, _ := l.lagGauges.LoadOrStore(stream, l.scope.Tagged(map[string]string{"stream": stream}).Gauge("lag"))
	return g.(tally.Gauge)
}
