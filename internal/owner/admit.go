package owner

import (
	"bytes"
	"context"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// admission is one of: a running call to follow, a recorded outcome, or a
// channel to wait on before the next look.
type admission struct {
	running *running
	turn    *record.Turn
	wake    <-chan struct{}
	// run is what a caller that gives up waiting can be told.
	run fault.Run
}

// admit decides what becomes of a call. The caller has the lock.
func (p *part) admit(call port.Call, fingerprint []byte, deadline time.Time) (admission, error) {
	g := p.l.Program(call.ProgramID)
	if g == nil {
		return admission{}, unknownProgram()
	}
	if t := g.Turn(call.Seq); t != nil {
		return repeated(t, call, fingerprint)
	}
	v := p.of(g.ID)
	if v.running == nil && g.Intent != nil {
		p.startResolve(g)
	}
	if v.running != nil && v.running.call.Seq == call.Seq {
		return v.join(call, fingerprint)
	}
	if g.Intent != nil && g.Intent.Seq == call.Seq && g.Intent.RequestId != call.RequestID {
		return admission{}, p.refuse(g.ID, seqConflict("another request has this seq"))
	}
	if g.State != ledger.Open {
		return admission{}, p.refuseCall(g, call, p.over(g))
	}
	if call.Seq > g.NextSeq() || v.running != nil || v.unsettled > 0 {
		return p.queue(g, v, call)
	}
	if reason := p.s.limitReached(g, fingerprint); reason != "" {
		p.stop(g, reason)
		return admission{}, p.refuseCall(g, call, fault.New(fault.ProgramStopped, fault.NotRun, "the program was stopped: %s", reason))
	}
	return admission{running: p.start(g, v, call, fingerprint, deadline)}, nil
}

// refuseCall refuses a call that may have been at a target before.
func (p *part) refuseCall(g *ledger.Program, call port.Call, f *fault.Fault) error {
	f.Run = p.runOfIdle(g, call)
	return p.refuse(g.ID, f)
}

// runOfIdle says what is known of a call that is not under way. The caller has
// the lock.
func (p *part) runOfIdle(g *ledger.Program, call port.Call) fault.Run {
	if p.mayHaveLeft(g, call) {
		return fault.Unknown
	}
	return fault.NotRun
}

// mayHaveLeft says whether an earlier attempt of a call may have been at a
// target. A non-idempotent call has an intent if it has left.
func (p *part) mayHaveLeft(g *ledger.Program, call port.Call) bool {
	if p.s.isNonIdempotent(call) {
		return false
	}
	v := p.live[g.ID]
	return g.MayHaveBeenDispatched(call.Seq) || (v != nil && v.left == call.Seq)
}

// refuse drops what was noted for the program if nothing is under way.
func (p *part) refuse(id string, f *fault.Fault) error {
	if v := p.live[id]; v != nil && v.running == nil && v.unsettled == 0 && v.waiting == 0 && !v.evicting {
		delete(p.live, id)
	}
	return f
}

func repeated(t *record.Turn, call port.Call, fingerprint []byte) (admission, error) {
	if t.RequestId != call.RequestID {
		return admission{}, seqConflict("another request has this seq")
	}
	if !bytes.Equal(t.Fingerprint, fingerprint) {
		return admission{}, seqConflict("the request ID was used with another body")
	}
	return admission{turn: t}, nil
}

func (v *live) join(call port.Call, fingerprint []byte) (admission, error) {
	if !v.running.same(call, fingerprint) {
		return admission{}, seqConflict("another request has this seq")
	}
	v.running.join()
	return admission{running: v.running}, nil
}

// queue lets an early call wait in a bounded place.
func (p *part) queue(g *ledger.Program, v *live, call port.Call) (admission, error) {
	most := p.s.p.Settings.MaxEarlyCalls
	if call.Seq > g.NextSeq()+most || int64(v.waiting) >= most {
		return admission{}, p.refuse(g.ID, seqConflict("the next seq is %d", g.NextSeq()))
	}
	v.waiting++
	return admission{wake: v.wake, run: p.runOfIdle(g, call)}, nil
}

// awaitTurn waits until the program has moved on.
func (p *part) awaitTurn(ctx context.Context, id string, a admission) error {
	p.mu.Lock()
	owned := p.wake
	p.mu.Unlock()
	var err error
	select {
	case <-a.wake:
	case <-owned:
	case <-ctx.Done():
		p.s.count("early_calls_timed_out")
		err = timedOut(a.run)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.live[id]; v != nil {
		v.waiting--
	}
	return err
}

func (p *part) over(g *ledger.Program) *fault.Fault {
	if g.State == ledger.Stopped {
		return fault.New(fault.ProgramStopped, fault.NotRun, "the program was stopped: %s", g.Reason)
	}
	return fault.New(fault.ProgramStopped, fault.NotRun, "the program has ended")
}
