package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// runNonIdempotent runs a non-idempotent service call: its intent is seen
// in the log, then it is dispatched once, then its outcome is recorded.
func (r *running) runNonIdempotent() (port.Answer, error) {
	work, err := r.serviceWork()
	if err != nil {
		return port.Answer{}, err
	}
	for attempt := 1; ; attempt++ {
		answer, err := r.dispatchOnce(work)
		var te *port.TargetError
		if !errors.As(err, &te) || !te.NotRun() {
			return answer, err
		}
		pause, again := r.p.s.p.Scheduler.Retry(work, attempt, te)
		if !again || !sleep(r.ctx, pause) {
			return port.Answer{}, err
		}
		r.p.s.countRetry(te.Failure)
	}
}

// dispatchOnce answers a *port.TargetError only if the call provably did not
// run and the log says so.
func (r *running) dispatchOnce(work port.Work) (port.Answer, error) {
	grant, err := r.p.s.p.Scheduler.Acquire(r.ctx, work)
	if err != nil {
		return port.Answer{}, err
	}
	target := grant.Target()
	leaveBy, err := r.intend(target.Name)
	if err != nil {
		grant.Done(port.Result{Inconclusive: true})
		return port.Answer{}, err
	}
	if !r.mayLeave(leaveBy) {
		grant.Done(port.Result{Inconclusive: true})
		return port.Answer{}, r.withdraw(logUnavailable(fault.NotRun))
	}
	// The call goes on when its callers have gone; only its deadline and the
	// end of the process stop it.
	ctx, cancel := context.WithDeadline(r.p.s.ctx, r.deadline)
	defer cancel()
	result, err := r.invoke(ctx, grant, leaveBy)
	return r.settleOnce(target, result, err)
}

// mayLeave says whether the call may still be dispatched, and marks it as
// gone if so. No record can be seen to be void after this, but the next owner
// waits until no dispatch can follow.
func (r *running) mayLeave(leaveBy time.Time) bool {
	r.p.mu.Lock()
	held := r.p.held() && r.p.l.Epoch == r.epoch
	r.p.mu.Unlock()
	if !held || r.ctx.Err() != nil || !time.Now().Before(leaveBy) {
		return false
	}
	r.advance(phaseDispatched)
	return true
}

// intend records the intent and waits until it was seen. The dispatch has to
// happen before the time it returns.
func (r *running) intend(target string) (time.Time, error) {
	p := r.p
	allowance := p.s.p.Settings.DispatchAllowance
	leaveBy := time.Now().Add(allowance)
	intent := &record.Intent{
		ProgramId:   r.call.ProgramID,
		Seq:         r.call.Seq,
		RequestId:   r.call.RequestID,
		Service:     r.call.Service,
		Operation:   r.call.Operation,
		Input:       r.call.Input,
		Target:      target,
		AllowedMs:   allowance.Milliseconds(),
		Fingerprint: r.fingerprint,
	}
	ctx, cancel := context.WithDeadline(r.ctx, leaveBy)
	defer cancel()
	sent := p.submitAt(r.epoch, &record.Record{Body: &record.Record_Intent{Intent: intent}})
	err := await(ctx, sent)
	if err != nil && ctx.Err() != nil {
		r.abandonIntent(sent)
		return leaveBy, logUnavailable(fault.NotRun).WithCause(err)
	}
	return leaveBy, err
}

// abandonIntent gives an intent up that was not seen in time. Should it show
// up later, it is marked as never dispatched.
func (r *running) abandonIntent(sent *pending) {
	p := r.p
	id := r.call.ProgramID
	p.s.count("intents_abandoned")
	p.mu.Lock()
	p.of(id).unsettled++
	p.begin()
	p.mu.Unlock()
	late := func(v ledger.Verdict) {
		if v == ledger.Applied {
			p.s.spawn(func() { p.undispatchLate(r) })
			return
		}
		p.settled(id)
	}
	if p.stream.writer.abandon(sent, late) {
		p.settled(id)
	}
}

func (p *part) undispatchLate(r *running) {
	_ = await(p.s.ctx, p.submitAt(r.epoch, undispatched(r.call.ProgramID, r.call.Seq)))
	p.settled(r.call.ProgramID)
}

// settled notes that a record that was given up can't show up any more.
func (p *part) settled(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(id).unsettled--
	p.signalProgram(id)
	p.finishLocked()
}

func undispatched(id string, seq int64) *record.Record {
	return &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{
		ProgramId: id,
		Seq:       seq,
	}}}
}

// withdraw records that the intent was not dispatched, and returns cause once
// that was seen.
func (r *running) withdraw(cause error) error {
	sent := r.p.submitAt(r.epoch, undispatched(r.call.ProgramID, r.call.Seq))
	if err := await(r.p.s.ctx, sent); err != nil {
		return err
	}
	r.advance(phaseWaiting)
	return cause
}

// settleOnce records what became of the one dispatch.
func (r *running) settleOnce(target port.Target, result port.ServiceResult, err error) (port.Answer, error) {
	if err == nil {
		return r.concludeService(result, target.Name)
	}
	te := targetError(target, err)
	if te.NotRun() {
		return port.Answer{}, r.withdraw(te)
	}
	if te.Failure == port.FailureRejected {
		return r.concludeRejected(te)
	}
	r.p.s.count("answers_lost")
	if result, ran := r.p.s.askOutcome(target, r.call.Service, r.call.RequestID); ran {
		return r.concludeService(result, target.Name)
	}
	return r.concludeFailure(target.Name, fault.OutcomeUnknown)
}
