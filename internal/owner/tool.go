package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// runRepeatable runs a service call that may be repeated.
func (r *running) runRepeatable() (port.Answer, error) {
	answer, err := r.attemptRepeatable()
	if err != nil && r.at() == phaseDispatched {
		r.noteLeft(&record.Slice{}, func() {})
	}
	return answer, err
}

func (r *running) attemptRepeatable() (port.Answer, error) {
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
		ProgramID:    r.call.ProgramID,
		Seq:          r.call.Seq,
		RequestID:    r.call.RequestID,
		Service:      r.call.Service,
		Operation:    r.call.Operation,
		Input:        r.call.Input,
		Idempotent:   !r.once,
		SendDeadline: leaveBy,
	})
	if err == nil && result.RequestID != r.call.RequestID {
		r.p.s.count("crossed_answers")
		err = &port.TargetError{Target: target.Name, Failure: port.FailureMismatch}
	}
	failure := targetError(target, err)
	total := time.Since(begun)
	grant.Done(port.Result{
		Err:          failure,
		Total:        total,
		Inconclusive: err != nil && given.Err() != nil,
		Down:         r.isDown(target, failure),
	})
	return result, err
}

// isDown says whether a service that broke the connection refuses further
// ones: it has crashed.
func (r *running) isDown(target port.Target, failure *port.TargetError) bool {
	if failure == nil || failure.Failure != port.FailureBroken {
		return false
	}
	_, _, _, err := r.p.s.askOnce(target, r.call.Service, r.call.RequestID)
	var te *port.TargetError
	return errors.As(err, &te) && te.Failure == port.FailureRefused
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

const (
	// outcomeAttempts and outcomePause bound the questions after a lost
	// answer.
	outcomeAttempts = 4
	outcomePause    = 200 * time.Millisecond
	outcomeTimeout  = time.Second
)

// askOutcome asks a target whether a request ran, a few times. It returns false
// where the target does not know it, or can't say.
func (s *Service) askOutcome(target port.Target, service, requestID string) (port.ServiceResult, bool) {
	for attempt := range outcomeAttempts {
		if attempt > 0 && !sleep(s.ctx, outcomePause) {
			break
		}
		answer, ran, known, err := s.askOnce(target, service, requestID)
		if err == nil && known && ran {
			return answer, true
		}
	}
	return port.ServiceResult{}, false
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
