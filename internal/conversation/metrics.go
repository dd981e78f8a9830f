package conversation

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/port"
)

type metrics struct {
	scope tally.Scope
	// memoryHits counts lookups that were served from memory.
	memoryHits    tally.Counter
	invalid       tally.Counter
	copyFailures  tally.Counter
	appendedBytes tally.Counter
	readBytes     tally.Counter
	bytes         tally.Gauge
	turns         tally.Gauge
	evicted       tally.Gauge
	heldBytes     tally.Gauge
	keepTime      tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:         scope,
		memoryHits:    scope.Counter("found_in_memory"),
		invalid:       scope.Counter("invalid_records"),
		copyFailures:  scope.Counter("copy_failures"),
		appendedBytes: scope.Counter("appended_bytes"),
		readBytes:     scope.Counter("read_bytes"),
		bytes:         scope.Gauge("memory_bytes"),
		turns:         scope.Gauge("memory_turns"),
		evicted:       scope.Gauge("evicted_turns"),
		heldBytes:     scope.Gauge("held_event_bytes"),
		keepTime:      scope.Histogram("keep_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

func (m *metrics) updateMemory(b *conversation.TurnCache) {
	m.bytes.Update(float64(b.Bytes()))
	m.turns.Update(float64(b.Len()))
	m.evicted.Update(float64(b.Evicted()))
}

func (m *metrics) countLookup(f port.Finding, scope string) {
	m.scope.Tagged(map[string]string{"finding": f.String(), "by": scope}).Counter("lookups").Inc(1)
}

func (m *metrics) countKept(how method, took time.Duration) {
	m.keepTime.RecordDuration(took)
	m.scope.Tagged(map[string]string{"method": string(how)}).Counter("kept").Inc(1)
}

func (m *metrics) countAppend(err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("appends").Inc(1)
}

func (m *metrics) countTakeUp(isFound bool) {
	m.scope.Tagged(map[string]string{"found": strconv.FormatBool(isFound)}).Counter("take_ups").Inc(1)
}
