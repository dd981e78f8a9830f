package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// reason is the reason of a retry.
type reason string

// The reasons of retries.
const (
	reasonNotOwner    reason = "not_owner"
	reasonUnreachable reason = "unreachable"
	reasonBroken      reason = "broken"
	reasonHostLost    reason = "host_lost"
)

var reasons = []reason{reasonNotOwner, reasonUnreachable, reasonBroken, reasonHostLost}

var operations = []string{"open", "call", "program", "history", "answer", "end"}

// forwardBuckets are the histogram buckets for the duration of forwarded requests.
var forwardBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)

type metrics struct {
	retries   map[reason]tally.Counter
	forwards  map[string]tally.Histogram
	exhausted tally.Counter
	diverged  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	s := scope.SubScope("entry")
	m := &metrics{
		retries:   make(map[reason]tally.Counter, len(reasons)),
		forwards:  make(map[string]tally.Histogram, len(operations)),
		exhausted: s.Counter("search_exhausted"),
	}
	m.diverged = s.Counter("streams_diverged")
	m.exhausted.Inc(0)
	m.diverged.Inc(0)
	for _, r := range reasons {
		m.retries[r] = s.Tagged(map[string]string{"reason": string(r)}).Counter("retries")
		m.retries[r].Inc(0)
	}
	for _, op := range operations {
		m.forwards[op] = s.Tagged(map[string]string{"op": op}).Histogram("forward", forwardBuckets)
	}
	return m
}

func (m *metrics) retried(r reason) { m.retries[r].Inc(1) }

func (m *metrics) forwarded(op string, d time.Duration) { m.forwards[op].RecordDuration(d) }
