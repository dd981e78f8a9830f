package owner

import (
	"bytes"
	"context"
	"sync"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// phase says how far a running call has come.
type phase int

const (
	// phaseWaiting: no byte has left for any target.
	phaseWaiting phase = iota
	// phaseDispatched: the call may run.
	phaseDispatched
	// phaseRecording: the call has run and its record is on its way.
	phaseRecording
)

// run says what a caller that gives up now can be told.
func (f phase) run() fault.Run {
	switch f {
	case phaseWaiting:
		return fault.NotRun
	case phaseDispatched:
		return fault.Unknown
	}
	return fault.Ran
}

// running is one call under way. Several callers may wait for it.
type running struct {
	partition   *partitionState
	call        port.Call
	fingerprint []byte
	epoch       int64
	arrived     time.Time
	deadline    time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	// done is closed when answer and err are set.
	done   chan struct{}
	answer port.Answer
	err    error

	// once says that the call is non-idempotent. left says that an earlier
	// attempt under the same seq may have been at a target.
	nonIdempotent         bool
	mayHaveBeenDispatched bool

	mu      sync.Mutex
	phase   phase
	callers int
	// text is the output so far; changed is closed when it grows.
	text     []byte
	streamed bool
	changed  chan struct{}
}

func newRunning(p *partitionState, call port.Call, fingerprint []byte, deadline time.Time) *running {
	r := &running{
		partition:   p,
		call:        call,
		fingerprint: fingerprint,
		epoch:       p.ledger.Epoch,
		arrived:     time.Now(),
		deadline:    deadline,
		done:        make(chan struct{}),
		changed:     make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithDeadline(p.service.ctx, deadline)
	return r
}

// same says whether a call is this one sent again.
func (r *running) isSameRequest(call port.Call, fingerprint []byte) bool {
	return r.call.RequestID == call.RequestID && bytes.Equal(r.fingerprint, fingerprint)
}

func (r *running) setPhase(to phase) {
	r.mu.Lock()
	r.phase = to
	r.mu.Unlock()
}

func (r *running) currentPhase() phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

// run says what a caller that gives up now can be told.
func (r *running) run() fault.Run {
	run := r.currentPhase().run()
	if run == fault.NotRun && r.mayHaveBeenDispatched {
		return fault.Unknown
	}
	return run
}

func (r *running) addCaller() {
	r.mu.Lock()
	r.callers++
	r.mu.Unlock()
}

// leave lets a caller go. The last one takes the call with it, unless it is
// non-idempotent and has left, or has run.
func (r *running) removeCaller() {
	r.mu.Lock()
	r.callers--
	idle := r.callers == 0 && r.phase != phaseRecording
	r.mu.Unlock()
	if idle {
		r.cancelUnlessDispatched()
	}
}

// cancelUnlessLeft cancels the call, unless it is non-idempotent and has
// left: that one ends by itself.
func (r *running) cancelUnlessDispatched() {
	if !r.nonIdempotent || r.currentPhase() == phaseWaiting {
		r.cancel()
	}
}

// push takes a piece of the output. A second attempt repeats what was handed
// on already; if it differs, the attempt is broken off.
func (r *running) appendOutput(d port.Delta) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := int64(len(r.text))
	if d.Offset > have {
		return &OutputError{Offset: d.Offset, Have: have}
	}
	known := min(have-d.Offset, int64(len(d.Text)))
	if string(r.text[d.Offset:d.Offset+known]) != d.Text[:known] {
		if r.streamed {
			return &OutputError{Offset: d.Offset, Have: have}
		}
		r.text = append(r.text[:d.Offset], d.Text...)
		return nil
	}
	if known == int64(len(d.Text)) {
		return nil
	}
	r.text = append(r.text, d.Text[known:]...)
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}

// received returns how many bytes of output have come.
func (r *running) receivedBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.text))
}

// from returns the output from offset on, and a channel that is closed when
// there is more.
func (r *running) outputFrom(offset int64) (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= int64(len(r.text)) {
		return "", r.changed
	}
	r.streamed = true
	return string(r.text[offset:]), r.changed
}

// follow hands the output to a caller until the call ends or the caller goes.
func (r *running) follow(ctx context.Context, sink port.Sink) (port.Answer, error) {
	defer r.removeCaller()
	var sent int64
	for {
		changed := make(<-chan struct{})
		if sink != nil {
			var text string
			text, changed = r.outputFrom(sent)
			if text != "" && sink(port.Delta{Offset: sent, Text: text}) != nil {
				return port.Answer{}, timedOut(r.run())
			}
			sent += int64(len(text))
		}
		select {
		case <-r.done:
			return r.deliverRest(sink, sent)
		case <-changed:
		case <-ctx.Done():
			return port.Answer{}, timedOut(r.run()).WithCause(ctx.Err())
		}
	}
}

// last hands on the rest of the output before the answer.
func (r *running) deliverRest(sink port.Sink, sent int64) (port.Answer, error) {
	if r.err != nil {
		return port.Answer{}, r.err
	}
	if sink != nil && r.call.Kind == port.KindModel {
		if text, _ := r.outputFrom(sent); text != "" {
			// A caller that has gone gets the recorded answer when it asks.
			_ = sink(port.Delta{Offset: sent, Text: text})
		}
	}
	return r.answer, nil
}

// record sends the outcome of the call and waits until it was seen. It waits
// on when the callers have gone, since the outcome stands.
func (r *running) record(turn *record.Turn, need int64) error {
	p := r.partition
	p.mu.Lock()
	g := p.ledger.Program(r.call.ProgramID)
	if p.ledger.Epoch != r.epoch || g == nil {
		p.mu.Unlock()
		return &port.NotOwnerError{Partition: p.id}
	}
	turn.Digest = ledger.TurnDigest(g, turn.Input, turn.Output)
	turn.Granted = p.nextSlice(g.ID, turn.Charge, need)
	sent := p.submit(&record.Record{Body: &record.Record_Turn{Turn: turn}})
	p.mu.Unlock()
	r.setPhase(phaseRecording)
	return await(p.service.ctx, sent)
}

// turn returns the record of the call's outcome without its result.
func (r *running) turn() *record.Turn {
	t := &record.Turn{
		ProgramId:   r.call.ProgramID,
		Seq:         r.call.Seq,
		RequestId:   r.call.RequestID,
		Kind:        string(r.call.Kind),
		Name:        r.call.Model,
		Input:       r.call.Input,
		Fingerprint: r.fingerprint,
	}
	if r.call.Kind == port.KindService {
		t.Name = r.call.Service
		t.Operation = r.call.Operation
	}
	return t
}

// OutputError says that a second attempt's output does not continue what was
// handed on.
type OutputError struct{ Offset, Have int64 }

// Error implements error.
func (e *OutputError) Error() string { return "output does not continue what was handed on" }
