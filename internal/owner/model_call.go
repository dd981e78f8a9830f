package owner

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	// bytesPerToken is the size of a token that estimates assume.
	bytesPerToken = 4
	// cancelTimeout bounds a request to a target to cancel a call.
	cancelTimeout = 2 * time.Second
)

// modelRun is the state of one model call over its attempts.
type modelRun struct {
	*running
	work          port.Work
	prompt        []port.Segment
	attemptTokens int64
	// reserved is reserved from the tree's escrow, lostTokens may have been spent
	// by failed attempts, both in tokens. holders are targets that may hold KV
	// cache because of failed attempts.
	reserved   int64
	lostTokens int64
	holders    []string
}

// runModel runs a model call. The first token does not wait for a log append unless
// the escrow is too small; the answer waits for its record.
func (r *running) runModel() (port.Answer, error) {
	m := &modelRun{running: r}
	if err := m.prepare(); err != nil {
		return port.Answer{}, err
	}
	if err := m.reserve(); err != nil {
		return port.Answer{}, err
	}
	result, target, err := m.attempts()
	if err != nil {
		m.chargeFailed()
		return port.Answer{}, err
	}
	return m.recordAnswer(result, target)
}

// attempts dispatches the call until an attempt returns a complete answer or the
// scheduler allows no further retry.
func (m *modelRun) attempts() (port.ModelResult, string, error) {
	for attempt := 1; ; attempt++ {
		result, target, err := m.attempt()
		if err == nil {
			return result, target, nil
		}
		var te *port.TargetError
		if !errors.As(err, &te) || m.ctx.Err() != nil {
			return result, "", err
		}
		pause, again := m.partition.service.params.Scheduler.Retry(m.work, attempt, te)
		if !again || !sleep(m.ctx, pause) {
			return result, "", err
		}
		m.partition.service.countRetry(te.Failure)
		if !te.NotRun() {
			if err := m.reserve(); err != nil {
				return result, "", err
			}
		}
	}
}

// attempt dispatches the call once, while the owner's lease on the escrow is valid,
// and resumes it once if its stream was interrupted.
func (m *modelRun) attempt() (port.ModelResult, string, error) {
	s := m.partition.service
	if err := m.partition.stream.awaitLease(m.ctx); err != nil {
		return port.ModelResult{}, "", err
	}
	grant, err := s.params.Scheduler.Acquire(m.ctx, m.work)
	if err != nil {
		return port.ModelResult{}, "", err
	}
	target := grant.Target()
	if err := m.partition.stream.awaitLease(m.ctx); err != nil {
		grant.Done(port.Result{Inconclusive: true})
		return port.ModelResult{}, "", err
	}
	begun := time.Now()
	var first time.Duration
	m.setPhase(phaseDispatched)
	result, err := m.generate(target, grant.Priority(), 0, begun, &first)
	if resumable(err) && m.receivedBytes() > 0 && m.ctx.Err() == nil {
		result, err = m.resume(target, grant.Priority(), begun, &first, err)
	}
	err = m.checkAnswer(target, result, err)
	grant.Done(port.Result{
		Err:          targetError(target, err),
		FirstToken:   first,
		Total:        time.Since(begun),
		Usage:        result.Usage,
		Inconclusive: err != nil && m.ctx.Err() != nil,
	})
	if err != nil {
		m.attemptFailed(target, err)
	}
	return result, target.Name, err
}

// resume requests the rest of an interrupted stream from the target. If the target
// did not run that request, resume returns the error of the interruption: the call
// was dispatched before, and may have crashed the target.
func (m *modelRun) resume(target port.Target, priority int, begun time.Time, first *time.Duration, broken error) (port.ModelResult, error) {
	m.partition.service.count("streams_resumed")
	result, err := m.generate(target, priority, m.receivedBytes(), begun, first)
	if te := targetError(target, err); te != nil && te.NotRun() {
		return result, broken
	}
	return result, err
}

func (m *modelRun) generate(target port.Target, priority int, from int64, begun time.Time, first *time.Duration) (port.ModelResult, error) {
	call := port.ModelCall{
		ProgramID:  m.call.ProgramID,
		Seq:        m.call.Seq,
		RequestID:  engineRequest(m.call.ProgramID, m.call.RequestID),
		Model:      m.call.Model,
		Prompt:     m.prompt,
		MaxTokens:  m.call.MaxTokens,
		Priority:   priority,
		ResumeFrom: from,
	}
	ctx, cancel := bounded(m.ctx, m.partition.service.modelTimeout(m.call.Model))
	defer cancel()
	return m.partition.service.params.Engine.Generate(ctx, target, call, func(d port.Delta) error {
		if *first == 0 {
			*first = time.Since(begun)
		}
		return m.appendOutput(d)
	})
}

// engineRequest returns the request ID that is sent to engines. It contains the
// program ID, because several programs may use the same request ID.
func engineRequest(programID, requestID string) string { return programID + "/" + requestID }

func resumable(err error) bool {
	var te *port.TargetError
	return errors.As(err, &te) && te.Failure == port.FailureBroken
}

// checkAnswer returns a mismatch error for an answer that belongs to another call
// or does not continue the output already streamed. Otherwise it completes the
// call's output.
func (m *modelRun) checkAnswer(target port.Target, result port.ModelResult, err error) error {
	if err != nil {
		return err
	}
	mismatch := &port.TargetError{Target: target.Name, Failure: port.FailureMismatch}
	if result.RequestID != engineRequest(m.call.ProgramID, m.call.RequestID) || result.ProgramID != m.call.ProgramID {
		m.partition.service.count("crossed_answers")
		return mismatch
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if strings.HasPrefix(result.Output, string(m.text)) {
		m.text = append(m.text, result.Output[len(m.text):]...)
		return nil
	}
	if m.streamed {
		m.partition.service.count("output_mismatches")
		return mismatch
	}
	m.text = []byte(result.Output)
	return nil
}

// targetError returns err as a *port.TargetError. Errors of other types become
// FailureBroken; nil stays nil.
func targetError(target port.Target, err error) *port.TargetError {
	if err == nil {
		return nil
	}
	var te *port.TargetError
	if errors.As(err, &te) {
		return te
	}
	return &port.TargetError{Target: target.Name, Failure: port.FailureBroken, Cause: err}
}

// attemptFailed accounts for the tokens and the KV cache that a failed attempt may
// have used, and cancels the request at its target.
func (m *modelRun) attemptFailed(target port.Target, err error) {
	te := targetError(target, err)
	if te.NotRun() {
		if m.lostTokens == 0 {
			m.setPhase(phaseWaiting)
		}
		return
	}
	if te.Failure != port.FailureRejected {
		m.lostTokens += m.attemptTokens
	}
	m.holders = append(m.holders, target.Name)
	m.partition.service.spawn(func() { m.partition.service.cancelRequest(target, engineRequest(m.call.ProgramID, m.call.RequestID)) })
}

func (s *Service) cancelRequest(target port.Target, requestID string) {
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	if s.params.Engine.Cancel(ctx, target, requestID) != nil {
		s.count("cancels_failed")
	}
}

// recordAnswer records the turn and returns the answer once the record is
// confirmed.
func (m *modelRun) recordAnswer(result port.ModelResult, target string) (port.Answer, error) {
	output, err := json.Marshal(result.Output)
	if err != nil {
		return port.Answer{}, errors.Trace(err)
	}
	turn := m.turn()
	turn.Output = output
	turn.Target = target
	turn.Usage = &record.Usage{
		PromptTokens: result.Usage.PromptTokens,
		CachedTokens: result.Usage.CachedTokens,
		OutputTokens: result.Usage.OutputTokens,
	}
	used := result.Usage.PromptTokens + result.Usage.OutputTokens
	turn.Charge = used + m.lostTokens
	turn.Over = used > m.attemptTokens
	if turn.Over {
		m.partition.service.count("usage_over_reservation")
	}
	turn.Holders = append(m.holders, target)
	err = m.record(turn, m.attemptTokens)
	m.unreserve()
	if err != nil {
		return port.Answer{}, err
	}
	m.partition.service.params.Scheduler.ProgramIdle(m.work)
	return answerOf(m.call.ProgramID, turn), nil
}

// chargeFailed charges the tokens that a failed call may have spent and frees the
// rest of its reservation. The caller is answered at once; the program's next call
// waits for the record.
func (m *modelRun) chargeFailed() {
	if m.lostTokens == 0 && len(m.holders) == 0 {
		m.unreserve()
		return
	}
	m.recordDispatched(&record.Slice{Charge: m.lostTokens, Holders: m.holders}, m.unreserve)
}

// reserve reserves the maximum use of one more attempt from the tree's escrow.
func (m *modelRun) reserve() error {
	if err := m.partition.reserve(m.ctx, m.running, m.attemptTokens); err != nil {
		return err
	}
	m.reserved += m.attemptTokens
	return nil
}

func (m *modelRun) unreserve() {
	m.partition.unreserve(m.epoch, partition.RootKey(m.call.ProgramID), m.reserved)
	m.reserved = 0
}
