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

// runNonIdempotent runs a non-idempotent service call: it confirms the intent in
// the log, dispatches the call once and records the outcome. It retries only
// attempts that provably did not run.
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
		pause, again := r.partition.service.params.Scheduler.Retry(work, attempt, te)
		if !again || !sleep(r.ctx, pause) {
			return port.Answer{}, err
		}
		r.partition.service.countRetry(te.Failure)
	}
}

// dispatchOnce performs one attempt. It returns a *port.TargetError only if the
// call provably did not run and this is recorded in the log.
func (r *running) dispatchOnce(work port.Work) (port.Answer, error) {
	grant, err := r.partition.service.params.Scheduler.Acquire(r.ctx, work)
	if err != nil {
		return port.Answer{}, err
	}
	target := grant.Target()
	dispatchBy, err := r.recordIntent(target.Name)
	if err != nil {
		grant.Done(port.Result{Inconclusive: true})
		return port.Answer{}, err
	}
	if !r.markDispatched(dispatchBy) {
		grant.Done(port.Result{Inconclusive: true})
		return port.Answer{}, r.recordUndispatched(logUnavailable(fault.NotRun))
	}
	// The call continues after its callers have disconnected; only its deadline
	// and the stop of the Service end it.
	ctx, cancel := context.WithDeadline(r.partition.service.ctx, r.deadline)
	defer cancel()
	result, err := r.invoke(ctx, grant, dispatchBy)
	return r.recordOutcome(target, result, err)
}

// markDispatched reports whether the call may still be dispatched and, if so, marks
// it as dispatched. The claim may be lost between this check and the dispatch; the
// next owner therefore waits until dispatchBy has passed.
func (r *running) markDispatched(dispatchBy time.Time) bool {
	r.partition.mu.Lock()
	held := r.partition.held() && r.partition.ledger.Epoch == r.epoch
	r.partition.mu.Unlock()
	if !held || r.ctx.Err() != nil || !time.Now().Before(dispatchBy) {
		return false
	}
	r.setPhase(phaseDispatched)
	return true
}

// recordIntent records the intent and waits until it is confirmed. It returns the
// time before which the call has to be dispatched.
func (r *running) recordIntent(target string) (time.Time, error) {
	p := r.partition
	allowance := p.service.params.Settings.DispatchAllowance
	dispatchBy := time.Now().Add(allowance)
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
	ctx, cancel := context.WithDeadline(r.ctx, dispatchBy)
	defer cancel()
	sent := p.submitAt(r.epoch, &record.Record{Body: &record.Record_Intent{Intent: intent}})
	err := await(ctx, sent)
	if err != nil && ctx.Err() != nil {
		r.abandonIntent(sent)
		return dispatchBy, logUnavailable(fault.NotRun).WithCause(err)
	}
	return dispatchBy, err
}

// abandonIntent abandons an intent that was not confirmed in time. If it is applied
// later, a record marks it as not dispatched.
func (r *running) abandonIntent(sent *pending) {
	p := r.partition
	id := r.call.ProgramID
	p.service.count("intents_abandoned")
	p.mu.Lock()
	p.activityOf(id).unresolvedRecords++
	p.beginWork()
	p.mu.Unlock()
	late := func(v ledger.Verdict) {
		if v == ledger.Applied {
			p.service.spawn(func() { p.undispatchLate(r) })
			return
		}
		p.recordResolved(id)
	}
	if p.stream.writer.abandon(sent, late) {
		p.recordResolved(id)
	}
}

func (p *partitionState) undispatchLate(r *running) {
	_ = await(p.service.ctx, p.submitAt(r.epoch, undispatchedRecord(r.call.ProgramID, r.call.Seq)))
	p.recordResolved(r.call.ProgramID)
}

// recordResolved notes that a record that was not awaited is applied, or can no
// longer be applied.
func (p *partitionState) recordResolved(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activityOf(id).unresolvedRecords--
	p.signalProgram(id)
	p.endWork()
}

func undispatchedRecord(id string, seq int64) *record.Record {
	return &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{
		ProgramId: id,
		Seq:       seq,
	}}}
}

// recordUndispatched records that the intent was not dispatched, and returns cause
// once the record is confirmed.
func (r *running) recordUndispatched(cause error) error {
	sent := r.partition.submitAt(r.epoch, undispatchedRecord(r.call.ProgramID, r.call.Seq))
	if err := await(r.partition.service.ctx, sent); err != nil {
		return err
	}
	r.setPhase(phaseWaiting)
	return cause
}

// recordOutcome records the outcome of the single dispatch. If the answer was lost,
// it asks the target for the outcome.
func (r *running) recordOutcome(target port.Target, result port.ServiceResult, err error) (port.Answer, error) {
	if err == nil {
		return r.recordServiceAnswer(result, target.Name)
	}
	te := targetError(target, err)
	if te.NotRun() {
		return port.Answer{}, r.recordUndispatched(te)
	}
	if te.Failure == port.FailureRejected {
		return r.recordRejected(te)
	}
	r.partition.service.count("answers_lost")
	if result, ran := r.partition.service.askOutcome(target, r.call.Service, r.call.RequestID); ran {
		return r.recordServiceAnswer(result, target.Name)
	}
	return r.recordFailure(target.Name, fault.OutcomeUnknown)
}
