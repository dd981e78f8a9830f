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

// runIdempotent runs an idempotent service call. If the call fails after it was
// dispatched, that is recorded.
func (r *running) runIdempotent() (port.Answer, error) {
	answer, err := r.attemptIdempotent()
	if err != nil && r.currentPhase() == phaseDispatched {
		r.recordDispatched(&record.Slice{}, func() {})
	}
	return answer, err
}

func (r *running) attemptIdempotent() (port.Answer, error) {
	work, err := r.serviceWork()
	if err != nil {
		return port.Answer{}, err
	}
	for attempt := 1; ; attempt++ {
		result, target, err := r.invokeIdempotent(work)
		if err == nil {
			return r.recordServiceAnswer(result, target)
		}
		var te *port.TargetError
		if !errors.As(err, &te) || r.ctx.Err() != nil {
			return port.Answer{}, err
		}
		if te.Failure == port.FailureRejected {
			return r.recordRejected(te)
		}
		pause, again := r.partition.service.params.Scheduler.Retry(work, attempt, te)
		if !again || !sleep(r.ctx, pause) {
			return port.Answer{}, err
		}
		r.partition.service.countRetry(te.Failure)
	}
}

func (r *running) serviceWork() (port.Work, error) {
	p := r.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.ledger.Program(r.call.ProgramID)
	if p.ledger.Epoch != r.epoch || g == nil {
		return port.Work{}, &port.NotOwnerError{Partition: p.id}
	}
	return p.workOf(g, r, 0), nil
}

func (r *running) invokeIdempotent(work port.Work) (port.ServiceResult, string, error) {
	grant, err := r.partition.service.params.Scheduler.Acquire(r.ctx, work)
	if err != nil {
		return port.ServiceResult{}, "", err
	}
	before := r.currentPhase()
	r.setPhase(phaseDispatched)
	result, err := r.invoke(r.ctx, grant, time.Time{})
	var te *port.TargetError
	if errors.As(err, &te) && te.NotRun() {
		r.setPhase(before)
	}
	return result, grant.Target().Name, err
}

// invoke dispatches the call once, within the configured timeout, and checks that
// the answer belongs to it. A zero dispatchBy sets no time limit for the dispatch.
func (r *running) invoke(ctx context.Context, grant port.Grant, dispatchBy time.Time) (port.ServiceResult, error) {
	target := grant.Target()
	given := ctx
	ctx, cancel := bounded(ctx, r.partition.service.serviceTimeout(r.call.Service, r.call.Operation))
	defer cancel()
	begun := time.Now()
	result, err := r.partition.service.params.Service.Invoke(ctx, target, port.ServiceCall{
		ProgramID:    r.call.ProgramID,
		Seq:          r.call.Seq,
		RequestID:    r.call.RequestID,
		Service:      r.call.Service,
		Operation:    r.call.Operation,
		Input:        r.call.Input,
		Idempotent:   !r.nonIdempotent,
		SendDeadline: dispatchBy,
	})
	if err == nil && result.RequestID != r.call.RequestID {
		r.partition.service.count("crossed_answers")
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

// isDown reports whether a service has crashed: it interrupted the connection and
// refuses a further one.
func (r *running) isDown(target port.Target, failure *port.TargetError) bool {
	if failure == nil || failure.Failure != port.FailureBroken {
		return false
	}
	_, _, _, err := r.partition.service.askOnce(target, r.call.Service, r.call.RequestID)
	var te *port.TargetError
	return errors.As(err, &te) && te.Failure == port.FailureRefused
}

func (r *running) recordServiceAnswer(result port.ServiceResult, target string) (port.Answer, error) {
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

// recordRejected records that the target rejected the call as invalid, so that the
// program can continue.
func (r *running) recordRejected(te *port.TargetError) (port.Answer, error) {
	return r.recordFailure(te.Target, fault.TargetFailed)
}

func (r *running) recordFailure(target string, failure fault.Type) (port.Answer, error) {
	turn := r.turn()
	turn.Target = target
	turn.Failure = string(failure)
	if err := r.record(turn, 0); err != nil {
		return port.Answer{}, err
	}
	return port.Answer{}, failureOf(turn)
}

const (
	// outcomeAttempts is the number of outcome requests after a lost answer.
	// outcomePause is the time between two of them, outcomeTimeout the limit of one.
	outcomeAttempts = 4
	outcomePause    = 200 * time.Millisecond
	outcomeTimeout  = time.Second
)

// askOutcome asks a target whether a request ran, up to outcomeAttempts times. It
// returns false if the target does not know the request or cannot tell.
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
	result, ran, known, err := s.params.Service.Outcome(ctx, target, service, requestID)
	if err == nil && known && ran && result.RequestID != requestID {
		s.count("crossed_answers")
		return result, false, false, nil
	}
	return result, ran, known, err
}
