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

// phase is the progress of a running call.
type phase int

const (
	// phaseWaiting: no byte has been sent to any target.
	phaseWaiting phase = iota
	// phaseDispatched: the call may run.
	phaseDispatched
	// phaseRecording: the call has run and its record is in flight.
	phaseRecording
)

// run returns the run reported to a caller that stops waiting in this phase.
func (f phase) run() fault.Run {
	switch f {
	case phaseWaiting:
		return fault.NotRun
	case phaseDispatched:
		return fault.Unknown
	}
	return fault.Ran
}

// running is one call in progress. Several callers may wait for it.
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

	nonIdempotent bool
	// mayHaveBeenDispatched is set if an earlier attempt under the same seq may
	// have been dispatched.
	mayHaveBeenDispatched bool

	mu      sync.Mutex
	phase   phase
	callers int
	// text is the output so far; streamed is set once a part of it was passed to a
	// caller. changed is closed and replaced when text grows.
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

// isSameRequest reports whether a call is this one sent again.
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

// run returns the run reported to a caller that stops waiting now.
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

// removeCaller removes a caller. When the last one is removed, the call is
// cancelled, unless it has run or is non-idempotent and was dispatched.
func (r *running) removeCaller() {
	r.mu.Lock()
	r.callers--
	idle := r.callers == 0 && r.phase != phaseRecording
	r.mu.Unlock()
	if idle {
		r.cancelUnlessDispatched()
	}
}

// cancelUnlessDispatched cancels the call, unless it is non-idempotent and was
// dispatched: such a call runs to its end.
func (r *running) cancelUnlessDispatched() {
	if !r.nonIdempotent || r.currentPhase() == phaseWaiting {
		r.cancel()
	}
}

// appendOutput adds a delta to the output. A second attempt repeats the output
// received before. If it differs and callers have received that output,
// appendOutput returns an *OutputError, which ends the attempt.
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

// receivedBytes returns the length of the output so far.
func (r *running) receivedBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.text))
}

// outputFrom returns the output from offset on, and a channel that is closed when
// there is more. It marks the output as streamed if it returns any.
func (r *running) outputFrom(offset int64) (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= int64(len(r.text)) {
		return "", r.changed
	}
	r.streamed = true
	return string(r.text[offset:]), r.changed
}

// follow passes the output to a caller until the call ends or the caller
// disconnects. A nil sink receives nothing.
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

// deliverRest passes the rest of the output to the caller and returns the answer.
func (r *running) deliverRest(sink port.Sink, sent int64) (port.Answer, error) {
	if r.err != nil {
		return port.Answer{}, r.err
	}
	if sink != nil && r.call.Kind == port.KindModel {
		if text, _ := r.outputFrom(sent); text != "" {
			// A caller that has disconnected can still read the recorded answer.
			_ = sink(port.Delta{Offset: sent, Text: text})
		}
	}
	return r.answer, nil
}

// record submits the outcome of the call and waits until it is confirmed. It
// continues to wait after the callers have disconnected, since the call has run.
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

// OutputError reports that a delta does not continue the output received before.
// Both fields are in bytes.
type OutputError struct{ Offset, Have int64 }

// Error implements error.
func (e *OutputError) Error() string { return "output does not continue the output received before" }
