package origin

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// callBuckets are the buckets for the time of lookups and appends.
var callBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 10)

// metrics are the metrics of origins.
type metrics struct {
	scope      tally.Scope
	lookupTime tally.Histogram
	writeTime  tally.Histogram
	// written counts the streams that were recorded, writes the appends that carried them.
	written, writes, writeFailures tally.Counter
	// dropped counts the streams that were not recorded or kept for lack of room.
	dropped tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:         scope,
		lookupTime:    scope.Histogram("lookup", callBuckets),
		writeTime:     scope.Histogram("write", callBuckets),
		written:       scope.Counter("written_streams"),
		writes:        scope.Counter("writes"),
		writeFailures: scope.Counter("write_failures"),
		dropped:       scope.Counter("dropped_streams"),
	}
}

func (m *metrics) recordLookup(source string, took time.Duration) {
	m.scope.Tagged(map[string]string{"source": source}).Counter("lookups").Inc(1)
	m.lookupTime.RecordDuration(took)
}

func (m *metrics) recordWrite(streams int, took time.Duration) {
	m.writes.Inc(1)
	m.written.Inc(int64(streams))
	m.writeTime.RecordDuration(took)
}
