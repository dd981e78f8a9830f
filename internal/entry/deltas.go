package entry

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// deltaStream passes a streamed answer to the caller's sink, each byte once and in order,
// across all attempts at a call.
type deltaStream struct {
	sink port.Sink

	// diverged counts answers that do not continue what was delivered.
	diverged tally.Counter

	mu sync.Mutex
	// delivered is the text that the sink has accepted.
	delivered []byte
	err       error
	// currentAttempt is the number of the latest attempt. Deltas of earlier ones are
	// dropped.
	currentAttempt int
	// isStopped is set if an attempt diverged. No more deltas are delivered then.
	isStopped bool
}

// attempt starts a new attempt and returns its sink, or nil if the caller has none. Late
// deltas of earlier attempts are dropped.
func (p *deltaStream) attempt() port.Sink {
	if p.sink == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentAttempt++
	number := p.currentAttempt
	return func(d port.Delta) error { return p.deliver(number, d) }
}

// deliver passes the new part of a delta to the sink and returns the sink's error. A delta
// after a gap is dropped. After a delta that differs from what was delivered, as when
// another target generated the answer again, all deltas are dropped. The mutex is held
// during the call of the sink to keep the order; only deltas of the same call wait for it.
func (p *deltaStream) deliver(number int, d port.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	next := int64(len(p.delivered))
	if number != p.currentAttempt || p.isStopped || d.Offset > next {
		return nil
	}
	known := min(next-d.Offset, int64(len(d.Text)))
	if d.Text[:known] != string(p.delivered[d.Offset:d.Offset+known]) {
		p.stop()
		return nil
	}
	if known == int64(len(d.Text)) {
		return nil
	}
	rest := port.Delta{Offset: next, Text: d.Text[known:]}
	if p.err = p.sink(rest); p.err != nil {
		return p.err
	}
	p.delivered = append(p.delivered, rest.Text...)
	return nil
}

// stop ends the delivery and counts the divergence. The caller holds the mutex.
func (p *deltaStream) stop() {
	if !p.isStopped {
		p.isStopped = true
		p.diverged.Inc(1)
	}
}

// complete delivers the missing rest of a complete answer, so that the caller's deltas
// always add up to the answer. It returns a fault if the answer does not continue what was
// delivered; the recorded answer remains valid. The sink's errors are not returned.
func (p *deltaStream) complete(a port.Answer) error {
	var output string
	if p.sink == nil || json.Unmarshal(a.Output, &output) != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return nil
	}
	rest, ok := strings.CutPrefix(output, string(p.delivered))
	if !ok || p.isStopped {
		p.stop()
		return fault.New(fault.TargetFailed, fault.Ran, "the answer was written anew after pieces of another had been sent").
			WithRequest(a.RequestID).WithRetryAfter(jitteredRetryAfter())
	}
	if rest == "" {
		return nil
	}
	// A caller that has disconnected can read the recorded answer later.
	p.err = p.sink(port.Delta{Offset: int64(len(p.delivered)), Text: rest})
	return nil
}

// callerGone reports whether the sink returned an error, as when the caller has
// disconnected.
func (p *deltaStream) callerGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err != nil
}
