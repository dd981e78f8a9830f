package entry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/port"
)

// pieces passes a streamed answer on, each byte once and in order, over all
// attempts at a call.
type pieces struct {
	sink port.Sink

	// diverged counts outputs that do not continue what was passed on.
	diverged tally.Counter

	mu sync.Mutex
	// passed is what was passed on.
	passed []byte
	err    error
	// latest numbers the attempt whose pieces count.
	latest int
	// isStopped says that no piece is passed on any more.
	isStopped bool
}

// attempt returns the sink of a new attempt, or nil if nobody listens. Late
// pieces of earlier attempts are dropped.
func (p *pieces) attempt() port.Sink {
	if p.sink == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest++
	number := p.latest
	return func(d port.Delta) error { return p.pass(number, d) }
}

// pass hands on what is new in a piece. A piece behind a gap is dropped, and
// so is all that follows a piece that differs from what was passed on, as when
// another target wrote the answer anew: the final answer is whole in any case.
// The mutex orders the pieces of the one caller; nothing else waits for it.
func (p *pieces) pass(number int, d port.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	next := int64(len(p.passed))
	if number != p.latest || p.isStopped || d.Offset > next {
		return nil
	}
	known := min(next-d.Offset, int64(len(d.Text)))
	if d.Text[:known] != string(p.passed[d.Offset:d.Offset+known]) {
		p.isStopped = true
		p.diverged.Inc(1)
		return nil
	}
	if known == int64(len(d.Text)) {
		return nil
	}
	fresh := port.Delta{Offset: next, Text: d.Text[known:]}
	if p.err = p.sink(fresh); p.err != nil {
		return p.err
	}
	p.passed = append(p.passed, fresh.Text...)
	return nil
}

// gone says whether the caller stopped taking pieces.
func (p *pieces) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err != nil
}
