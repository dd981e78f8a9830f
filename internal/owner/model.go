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
	// tokenBytes is how many bytes are taken for a token in estimates.
	tokenBytes = 4
	// cancelTimeout bounds an order to a target to give a call up.
	cancelTimeout = 2 * time.Second
)

// modelRun is the state of one model call over its attempts.
type modelRun struct {
	*running
	work   port.Work
	prompt []port.Segment
	need   int64
	// reserved is held of the tree's escrow, lostTokens may have been spent
	// by failed attempts, holders are targets that may hold KV cache.
	reserved   int64
	lostTokens int64
	holders    []string
}

// runModel runs a model call. Nothing waits for the log before the first
// token unless the escrow is too small; the answer waits for its record.
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
		m.giveUp()
		return port.Answer{}, err
	}
	return m.conclude(result, target)
}

// attempts dispatches the call until one attempt gives a whole answer.
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
		pause, again := m.p.s.p.Scheduler.Retry(m.work, attempt, te)
		if !again || !sleep(m.ctx, pause) {
			return result, "", err
		}
		m.p.s.countRetry(te.Failure)
		if !te.NotRun() {
			if err := m.reserve(); err != nil {
				return result, "", err
			}
		}
	}
}

// attempt dispatches the call once while the escrow is surely its own, and resumes it once if its stream broke.
func (m *modelRun) attempt() (port.ModelResult, string, error) {
	s := m.p.s
	if err := m.p.stream.awaitFresh(m.ctx); err != nil {
		return port.ModelResult{}, "", err
	}
	grant, err := s.p.Scheduler.Acquire(m.ctx, m.work)
	if err != nil {
		return port.ModelResult{}, "", err
	}
	target := grant.Target()
	if err := m.p.stream.awaitFresh(m.ctx); err != nil {
		grant.Done(port.Result{Inconclusive: true})
		return port.ModelResult{}, "", err
	}
	begun := time.Now()
	var first time.Duration
	m.advance(phaseDispatched)
	result, err := m.generate(target, grant.Priority(), 0, begun, &first)
	if resumable(err) && m.received() > 0 && m.ctx.Err() == nil {
		result, err = m.resume(target, grant.Priority(), begun, &first, err)
	}
	err = m.check(target, result, err)
	grant.Done(port.Result{
		Err:          targetError(target, err),
		FirstToken:   first,
		Total:        time.Since(begun),
		Usage:        result.Usage,
		Inconclusive: err != nil && m.ctx.Err() != nil,
	})
	if err != nil {
		m.failed(target, err)
	}
	return result, target.Name, err
}

// resume asks the target for the rest of a stream that broke. Where the target
// is gone, the break stands: the call had left, and may have crashed it.
func (m *modelRun) resume(target port.Target, priority int, begun time.Time, first *time.Duration, broken error) (port.ModelResult, error) {
	m.p.s.count("streams_resumed")
	result, err := m.generate(target, priority, m.received(), begun, first)
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
	ctx, cancel := bounded(m.ctx, m.p.s.modelTimeout(m.call.Model))
	defer cancel()
	return m.p.s.p.Engine.Generate(ctx, target, call, func(d port.Delta) error {
		if *first == 0 {
			*first = time.Since(begun)
		}
		return m.push(d)
	})
}

// engineRequest returns the ID by which engines know a model call. Programs
// may use the same request IDs.
func engineRequest(programID, requestID string) string { return programID + "/" + requestID }

func resumable(err error) bool {
	var te *port.TargetError
	return errors.As(err, &te) && te.Failure == port.FailureBroken
}

// check refuses an answer that belongs to another call, or that does not
// continue what was handed on.
func (m *modelRun) check(target port.Target, result port.ModelResult, err error) error {
	if err != nil {
		return err
	}
	mismatch := &port.TargetError{Target: target.Name, Failure: port.FailureMismatch}
	if result.RequestID != engineRequest(m.call.ProgramID, m.call.RequestID) || result.ProgramID != m.call.ProgramID {
		m.p.s.count("crossed_answers")
		return mismatch
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if strings.HasPrefix(result.Output, string(m.text)) {
		m.text = append(m.text, result.Output[len(m.text):]...)
		return nil
	}
	if m.streamed {
		m.p.s.count("output_mismatches")
		return mismatch
	}
	m.text = []byte(result.Output)
	return nil
}

// targetError returns the target's failure, or one for any other error.
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

// failed notes what an attempt may have left behind.
func (m *modelRun) failed(target port.Target, err error) {
	te := targetError(target, err)
	if te.NotRun() {
		if m.lostTokens == 0 {
			m.advance(phaseWaiting)
		}
		return
	}
	if te.Failure != port.FailureRejected {
		m.lostTokens += m.need
	}
	m.holders = append(m.holders, target.Name)
	m.p.s.spawn(func() { m.p.s.cancelAt(target, engineRequest(m.call.ProgramID, m.call.RequestID)) })
}

func (s *Service) cancelAt(target port.Target, requestID string) {
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	if s.p.Engine.Cancel(ctx, target, requestID) != nil {
		s.count("cancels_failed")
	}
}

// conclude records the turn and returns the answer once it was seen.
func (m *modelRun) conclude(result port.ModelResult, target string) (port.Answer, error) {
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
	turn.Over = used > m.need
	if turn.Over {
		m.p.s.count("usage_over_reservation")
	}
	turn.Holders = append(m.holders, target)
	err = m.record(turn, m.need)
	m.unreserve()
	if err != nil {
		return port.Answer{}, err
	}
	m.p.s.p.Scheduler.ProgramIdle(m.work)
	return answerOf(m.call.ProgramID, turn), nil
}

// giveUp charges what a failed call may have spent and frees the rest. The
// caller gets its answer at once; the next call waits for the record.
func (m *modelRun) giveUp() {
	if m.lostTokens == 0 && len(m.holders) == 0 {
		m.unreserve()
		return
	}
	m.noteLeft(&record.Slice{Charge: m.lostTokens, Holders: m.holders}, m.unreserve)
}

// reserve takes the worst case of one more attempt from the tree's escrow.
func (m *modelRun) reserve() error {
	if err := m.p.reserve(m.ctx, m.running, m.need); err != nil {
		return err
	}
	m.reserved += m.need
	return nil
}

func (m *modelRun) unreserve() {
	m.p.unreserve(m.epoch, partition.RootKey(m.call.ProgramID), m.reserved)
	m.reserved = 0
}
