package entry

import (
	"sync"

	"yuccausher/internal/port"
)

// pieces passes a streamed answer on, each byte once and in order, over all
// attempts at a call.
type pieces struct {
	sink port.Sink

	mu sync.Mutex
	// next is the offset of the first byte that was not passed on.
	next int64
	err  error
	// latest numbers the attempt whose pieces count.
	latest int
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

// pass hands on what is new in a piece. A piece behind a gap is dropped: the
// final answer is whole in any case. The mutex orders the pieces of the one
// caller; nothing else waits for it.
func (p *pieces) pass(number int, d port.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	end := d.Offset + int64(len(d.Text))
	if number != p.latest || d.Offset > p.next || end <= p.next {
		return nil
	}
	fresh := port.Delta{Offset: p.next, Text: d.Text[p.next-d.Offset:]}
	if p.err = p.sink(fresh); p.err != nil {
		return p.err
	}
	p.next = end
	return nil
}

// gone says whether the caller stopped taking pieces.
func (p *pieces) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err != nil
}
