package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// runRepeatable runs a service call that may be repeated.
func (r *running) runRepeatable() (port.Answer, error) {
	work, err := r.serviceWork()
	if err != nil {
		return port.Answer{}, err
	}
	for attempt := 1; ; attempt++ {
		result, target, err := r.invokeRepeatable(work)
		if err == nil {
			return r.concludeService(result, target)
		}
		var te *port.TargetError
		if !errors.As(err, &te) || r.ctx.Err() != nil {
			return port.Answer{}, err
		}
		if te.Failure == port.FailureRejected {
			return r.concludeRejected(te)
		}
		pause, again := r.p.s.p.Scheduler.Retry(work, attempt, te)
		if !again || !sleep(r.ctx, pause) {
			return port.Answer{}, err
		}
		r.p.s.countRetry(te.Failure)
	}
}

func (r *running) serviceWork() (port.Work, error) {
	p := r.p
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.l.Program(r.call.ProgramID)
	if p.l.Epoch != r.epoch || g == nil {
		return port.Work{}, &port.NotOwnerError{Partition: p.id}
	}
	return p.workOf(g, r, 0), nil
}

func (r *running) invokeRepeatable(work port.Work) (port.ServiceResult, string, error) {
	grant, err := r.p.s.p.Scheduler.Acquire(r.ctx, work)
	if err != nil {
		return port.ServiceResult{}, "", err
	}
	before := r.at()
	r.advance(phaseDispatched)
	result, err := r.invoke(r.ctx, grant, time.Time{})
	var te *port.TargetError
	if errors.As(err, &te) && te.NotRun() {
		r.advance(before)
	}
	return result, grant.Target().Name, err
}

// invoke dispatches the call once, within the time that the configuration
// allows, and checks whose answer came.
func (r *running) invoke(ctx context.Context, grant port.Grant, leaveBy time.Time) (port.ServiceResult, error) {
	target := grant.Target()
	given := ctx
	ctx, cancel := bounded(ctx, r.p.s.serviceTimeout(r.call.Service, r.call.Operation))
	defer cancel()
	begun := time.Now()
	result, err := r.p.s.p.Service.Invoke(ctx, target, port.ServiceCall{
		ProgramID:  r.call.ProgramID,
		Seq:        r.call.Seq,
		RequestID:  r.call.RequestID,
		Service:    r.call.Service,
		Operation:  r.call.Operation,
		Input:      r.call.Input,
		Idempotent: !r.once,
		LeaveBy:    leaveBy,
	})
	if err == nil && result.RequestID != r.call.RequestID {
		r.p.s.count("crossed_answers")
		err = &port.TargetError{Target: target.Name, Failure: port.FailureMismatch}
	}
	grant.Done(port.Result{
		Err:    targetError(target, err),
		Total:  time.Since(begun),
		Unused: err != nil && given.Err() != nil,
	})
	return result, err
}

func (r *running) concludeService(result port.ServiceResult, target string) (port.Answer, error) {
	turn := r.turn()
	turn.Output = result.Output
	if len(turn.Output) == 0 {
		turn.Output = json.RawMessage("null")
	}
	turn.Target = target
	if err := r.record(turn, 0); err != nil {
		return port.Answer{}, err
	}
	return answerOf(r.call.ProgramID, turn), nil
}

// concludeRejected records that the target found the call wrong, so that the
// program can go on.
func (r *running) concludeRejected(te *port.TargetError) (port.Answer, error) {
	return r.concludeFailure(te.Target, fault.TargetFailed)
}

func (r *running) concludeFailure(target string, failure fault.Type) (port.Answer, error) {
	turn := r.turn()
	turn.Target = target
	turn.Failure = string(failure)
	if err := r.record(turn, 0); err != nil {
		return port.Answer{}, err
	}
	return port.Answer{}, failureOf(turn)
}

// runOnce runs a service call that must not be repeated: its intent is seen
// in the log, then it is dispatched once, then its outcome is recorded.
func (r *running) runOnce() (port.Answer, error) {
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
		grant.Done(port.Result{Unused: true})
		return port.Answer{}, err
	}
	if !r.mayLeave(leaveBy) {
		grant.Done(port.Result{Unused: true})
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
	if result, ran, known := r.p.s.askOutcome(target, r.call.Service, r.call.RequestID, false); known && ran {
		return r.concludeService(result, target.Name)
	}
	return r.concludeFailure(target.Name, fault.OutcomeUnknown)
}

const (
	// outcomeAttempts and outcomePause bound the questions after a lost
	// answer.
	outcomeAttempts = 4
	outcomePause    = 200 * time.Millisecond
	outcomeTimeout  = time.Second
)

// askOutcome asks a target whether a request ran, a few times. final says
// that it can't come any more, so that an answer that it did not run stands.
func (s *Service) askOutcome(target port.Target, service, requestID string, final bool) (port.ServiceResult, bool, bool) {
	var result port.ServiceResult
	known := false
	for attempt := range outcomeAttempts {
		if attempt > 0 && !sleep(s.ctx, outcomePause) {
			break
		}
		answer, ran, knows, err := s.askOnce(target, service, requestID)
		if err != nil {
			continue
		}
		if knows && (ran || final) {
			return answer, ran, true
		}
		result, known = answer, knows
	}
	return result, false, known
}

func (s *Service) askOnce(target port.Target, service, requestID string) (port.ServiceResult, bool, bool, error) {
	ctx, cancel := context.WithTimeout(s.ctx, outcomeTimeout)
	defer cancel()
	result, ran, known, err := s.p.Service.Outcome(ctx, target, service, requestID)
	if err == nil && known && ran && result.RequestID != requestID {
		s.count("crossed_answers")
		return result, false, false, nil
	}
	return result, ran, known, err
}
