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

// admission is the decision on a call. It holds one of: a running call to
// follow, a recorded turn, or a channel to wait on before admit is called again.
type admission struct {
	running *running
	turn    *record.Turn
	wake    <-chan struct{}
	// run is reported to a caller whose wait times out.
	run fault.Run
}

// admit decides whether a call starts, joins a running one, is answered from
// its recorded turn, waits or is refused. The caller holds p.mu.
func (p *partitionState) admit(call port.Call, fingerprint []byte, deadline time.Time) (admission, error) {
	g := p.ledger.Program(call.ProgramID)
	if g == nil {
		return admission{}, unknownProgram()
	}
	if t := g.Turn(call.Seq); t != nil {
		return joinRecorded(t, call, fingerprint)
	}
	v := p.activityOf(g.ID)
	if v.running == nil && g.Intent != nil {
		p.startResolve(g)
	}
	if v.running != nil && v.running.call.Seq == call.Seq {
		return v.joinRunning(call, fingerprint)
	}
	if g.Intent != nil && g.Intent.Seq == call.Seq && g.Intent.RequestId != call.RequestID {
		return admission{}, p.refuse(g.ID, seqConflict("another request has this seq"))
	}
	if g.State != ledger.Open {
		return admission{}, p.refuseCall(g, call, p.closedFault(g))
	}
	if call.Seq > g.NextSeq() || v.running != nil || v.unresolvedRecords > 0 {
		return p.queueEarly(g, v, call)
	}
	if reason := p.service.limitReached(g, fingerprint); reason != "" {
		p.stop(g, reason)
		return admission{}, p.refuseCall(g, call, fault.New(fault.ProgramStopped, fault.NotRun, "the program was stopped: %s", reason))
	}
	return admission{running: p.start(g, v, call, fingerprint, deadline)}, nil
}

// refuseCall refuses a call and reports whether an earlier attempt of it may
// have run.
func (p *partitionState) refuseCall(g *ledger.Program, call port.Call, f *fault.Fault) error {
	f.Run = p.runOfInactive(g, call)
	return p.refuse(g.ID, f)
}

// runOfInactive reports whether a call that is not running here may have run.
// The caller holds p.mu.
func (p *partitionState) runOfInactive(g *ledger.Program, call port.Call) fault.Run {
	if p.mayHaveBeenDispatched(g, call) {
		return fault.Unknown
	}
	return fault.NotRun
}

// mayHaveBeenDispatched reports whether an earlier attempt of a call may have
// been dispatched. It returns false for non-idempotent calls, because each
// dispatch of those has an intent.
func (p *partitionState) mayHaveBeenDispatched(g *ledger.Program, call port.Call) bool {
	if p.service.isNonIdempotent(call) {
		return false
	}
	v := p.activities[g.ID]
	return g.MayHaveBeenDispatched(call.Seq) || (v != nil && v.dispatchedSeq == call.Seq)
}

// refuse returns f and removes the program's activity if it is idle.
func (p *partitionState) refuse(id string, f *fault.Fault) error {
	if v := p.activities[id]; v != nil && v.running == nil && v.unresolvedRecords == 0 && v.earlyCalls == 0 && !v.evicting {
		delete(p.activities, id)
	}
	return f
}

func joinRecorded(t *record.Turn, call port.Call, fingerprint []byte) (admission, error) {
	if t.RequestId != call.RequestID {
		return admission{}, seqConflict("another request has this seq")
	}
	if !bytes.Equal(t.Fingerprint, fingerprint) {
		return admission{}, seqConflict("the request ID was used with another body")
	}
	return admission{turn: t}, nil
}

func (v *programActivity) joinRunning(call port.Call, fingerprint []byte) (admission, error) {
	if !v.running.isSameRequest(call, fingerprint) {
		return admission{}, seqConflict("another request has this seq")
	}
	v.running.addCaller()
	return admission{running: v.running}, nil
}

// queueEarly queues a call that is ahead of the program's next seq or has to wait
// for work in flight. It refuses the call if too many calls wait or its seq is too
// far ahead.
func (p *partitionState) queueEarly(g *ledger.Program, v *programActivity, call port.Call) (admission, error) {
	maxEarly := p.service.params.Settings.MaxEarlyCalls
	if call.Seq > g.NextSeq()+maxEarly || int64(v.earlyCalls) >= maxEarly {
		return admission{}, p.refuse(g.ID, seqConflict("the next seq is %d", g.NextSeq()))
	}
	v.earlyCalls++
	return admission{wake: v.wake, run: p.runOfInactive(g, call)}, nil
}

// awaitEarly waits until the program's activity or the partition's owner changes.
func (p *partitionState) awaitEarly(ctx context.Context, id string, a admission) error {
	p.mu.Lock()
	owned := p.wake
	p.mu.Unlock()
	var err error
	select {
	case <-a.wake:
	case <-owned:
	case <-ctx.Done():
		p.service.count("early_calls_timed_out")
		err = timedOut(a.run)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.activities[id]; v != nil {
		v.earlyCalls--
	}
	return err
}

func (p *partitionState) closedFault(g *ledger.Program) *fault.Fault {
	if g.State == ledger.Stopped {
		return fault.New(fault.ProgramStopped, fault.NotRun, "the program was stopped: %s", g.Reason)
	}
	return fault.New(fault.ProgramStopped, fault.NotRun, "the program has ended")
}
