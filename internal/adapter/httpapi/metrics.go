package httpapi

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// Histogram buckets.
var (
	tokenBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 26)
	callBuckets  = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)
)

type metrics struct {
	refusals      map[fault.Type]tally.Counter
	calls         map[port.Kind]tally.Histogram
	firstToken    tally.Histogram
	betweenTokens tally.Histogram
	running       tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("http")
	m := &metrics{
		refusals:      make(map[fault.Type]tally.Counter, len(fault.Types)),
		calls:         make(map[port.Kind]tally.Histogram, 2),
		firstToken:    s.Histogram("first_token", tokenBuckets),
		betweenTokens: s.Histogram("between_tokens", tokenBuckets),
		running:       s.Gauge("requests"),
	}
	for _, t := range fault.Types {
		m.refusals[t] = s.Tagged(map[string]string{"type": string(t)}).Counter("refusals")
		m.refusals[t].Inc(0)
	}
	for _, k := range []port.Kind{port.KindModel, port.KindService} {
		m.calls[k] = s.Tagged(map[string]string{"kind": string(k)}).Histogram("call", callBuckets)
	}
	return m
}

func (m *metrics) countRefusal(t fault.Type) {
	if counter, ok := m.refusals[t]; ok {
		counter.Inc(1)
		return
	}
	m.refusals[fault.Internal].Inc(1)
}

func (m *metrics) recordCall(k port.Kind, d time.Duration) { m.calls[k].RecordDuration(d) }

// measureDeltas wraps a sink and records the time from now to the first delta
// and the time between deltas.
func (m *metrics) measureDeltas(sink port.Sink) port.Sink {
	last := time.Now()
	histogram := m.firstToken
	return func(d port.Delta) error {
		now := time.Now()
		histogram.RecordDuration(now.Sub(last))
		histogram = m.betweenTokens
		last = now
		return sink(d)
	}
}
