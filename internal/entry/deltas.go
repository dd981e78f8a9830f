package entry

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// deltaStream passes a streamed answer on, each byte once and in order, over all
// attempts at a call.
type deltaStream struct {
	sink port.Sink

	// diverged counts outputs that do not continue what was passed on.
	diverged tally.Counter

	mu sync.Mutex
	// delivered is what was passed on.
	delivered []byte
	err       error
	// currentAttempt numbers the attempt whose pieces count.
	currentAttempt int
	// isStopped says that no piece is passed on any more.
	isStopped bool
}

// attempt returns the sink of a new attempt, or nil if nobody listens. Late
// pieces of earlier attempts are dropped.
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

// deliver hands on what is new in a piece. A piece behind a gap is dropped, and
// so is all that follows a piece that differs from what was passed on, as when
// another target wrote the answer anew.
// The mutex orders the pieces of the one caller; nothing else waits for it.
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
	fresh := port.Delta{Offset: next, Text: d.Text[known:]}
	if p.err = p.sink(fresh); p.err != nil {
		return p.err
	}
	p.delivered = append(p.delivered, fresh.Text...)
	return nil
}

// stop passes nothing on any more. The caller has the mutex.
func (p *deltaStream) stop() {
	if !p.isStopped {
		p.isStopped = true
		p.diverged.Inc(1)
	}
}

// complete passes on what is missing of a whole answer, so that a caller's
// pieces always make up the answer at their end. Where what was passed on does
// not continue in the answer, that is a failure; the recorded answer stands.
func (p *deltaStream) complete(a port.Answer) error {
	var whole string
	if p.sink == nil || json.Unmarshal(a.Output, &whole) != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return nil
	}
	rest, ok := strings.CutPrefix(whole, string(p.delivered))
	if !ok || p.isStopped {
		p.stop()
		return fault.New(fault.TargetFailed, fault.Ran, "the answer was written anew after pieces of another had been sent").
			WithRequest(a.RequestID).WithRetryAfter(jitteredRetryAfter())
	}
	if rest == "" {
		return nil
	}
	// A caller that has gone gets the recorded answer when it asks.
	p.err = p.sink(port.Delta{Offset: int64(len(p.delivered)), Text: rest})
	return nil
}

// callerGone says whether the caller stopped taking pieces.
func (p *deltaStream) callerGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err != nil
}
