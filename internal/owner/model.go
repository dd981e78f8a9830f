package owner

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
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

// prepare builds the prompt from the program's history.
func (m *modelRun) prepare() error {
	p := m.p
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.l.Program(m.call.ProgramID)
	if p.l.Epoch != m.epoch || g == nil {
		return &port.NotOwnerError{Partition: p.id}
	}
	var bytes int64
	for _, t := range g.Turns {
		m.prompt = appendSegments(m.prompt, t)
	}
	m.prompt = append(m.prompt, port.Segment{Role: roleUser, Text: text(m.call.Input)})
	for _, s := range m.prompt {
		bytes += int64(len(s.Text))
	}
	tokens := (bytes + tokenBytes - 1) / tokenBytes
	if !p.s.fitsContext(m.call.Model, tokens+m.call.MaxTokens) {
		return invalid("input", "does not fit the model's context with the history and max_tokens")
	}
	m.need = tokens + m.call.MaxTokens
	m.work = p.workOf(g, m.running, tokens)
	return nil
}

const (
	roleUser      = "user"
	roleAssistant = "assistant"
)

func appendSegments(prompt []port.Segment, t *record.Turn) []port.Segment {
	prompt = append(prompt, port.Segment{Role: roleUser, Text: text(t.Input)})
	if len(t.Output) > 0 {
		prompt = append(prompt, port.Segment{Role: roleAssistant, Text: text(t.Output)})
	}
	return prompt
}

// text returns a JSON string's content, and any other JSON as it is.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// workOf describes a call to the scheduler. The caller has the lock.
func (p *part) workOf(g *ledger.Program, r *running, promptTokens int64) port.Work {
	w := port.Work{
		ProgramID:      g.ID,
		RootID:         p.rootID(g),
		RequestID:      r.call.RequestID,
		Firm:           g.Open.Firm,
		Agent:          g.Open.Agent,
		Class:          g.Open.Class,
		Kind:           r.call.Kind,
		Name:           r.call.Model,
		PromptTokens:   promptTokens,
		MaxTokens:      r.call.MaxTokens,
		AttainedTokens: g.Spent,
		Turns:          g.Next() - 1,
		Arrived:        r.arrived,
		Deadline:       r.deadline,
		Fingerprint:    ledger.ShortFingerprint(r.fingerprint),
		Idempotent:     !r.once,
		CachedAt:       cachedAt(g),
	}
	if r.call.Kind == port.KindService {
		w.Name = r.call.Service
	}
	return w
}

// rootID returns the ID of the tree's first program.
func (p *part) rootID(g *ledger.Program) string {
	for g.Open.Parent != "" {
		parent := p.l.Program(g.Open.Parent)
		if parent == nil {
			return g.Open.Parent
		}
		g = parent
	}
	return g.ID
}

// cachedAt returns the tokens that each holder had after its last turn.
func cachedAt(g *ledger.Program) map[string]int64 {
	cached := make(map[string]int64, len(g.Holders))
	for _, h := range g.Holders {
		cached[h] = 0
	}
	for _, t := range g.Turns {
		if _, ok := cached[t.Target]; ok && t.Kind == string(port.KindModel) {
			cached[t.Target] = t.Usage.GetPromptTokens() + t.Usage.GetOutputTokens()
		}
	}
	return cached
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
		grant.Done(port.Result{Unused: true})
		return port.ModelResult{}, "", err
	}
	begun := time.Now()
	var first time.Duration
	m.advance(phaseDispatched)
	result, err := m.generate(target, grant.Priority(), 0, begun, &first)
	if resumable(err) && m.received() > 0 && m.ctx.Err() == nil {
		s.count("streams_resumed")
		result, err = m.generate(target, grant.Priority(), m.received(), begun, &first)
	}
	err = m.check(target, result, err)
	grant.Done(port.Result{
		Err:        targetError(target, err),
		FirstToken: first,
		Total:      time.Since(begun),
		Usage:      result.Usage,
		Unused:     err != nil && m.ctx.Err() != nil,
	})
	if err != nil {
		m.failed(target, err)
	}
	return result, target.Name, err
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
	m.p.s.p.Scheduler.Pause(m.work)
	return answerOf(m.call.ProgramID, turn), nil
}

// giveUp charges what a failed call may have spent and frees the rest.
func (m *modelRun) giveUp() {
	if m.lostTokens > 0 || len(m.holders) > 0 {
		_ = await(m.p.s.ctx, m.p.submitAt(m.epoch, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{
			ProgramId: m.call.ProgramID,
			Charge:    m.lostTokens,
			Holders:   m.holders,
		}}}))
	}
	m.unreserve()
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

// fault turns an error of a running call into what its callers are told.
func (r *running) fault(err error) error {
	var n *port.NotOwnerError
	if errors.As(err, &n) {
		if r.once && r.at() != phaseWaiting {
			return outcomeUnknown().WithRequest(r.call.RequestID).WithCause(err)
		}
		return &port.NotOwnerError{Partition: n.Partition, Owner: n.Owner, MayHaveRun: r.at() != phaseWaiting}
	}
	run := r.at().run()
	if f, ok := fault.As(err); ok {
		f = f.WithRequest(r.call.RequestID)
		if f.Run == fault.NotRun {
			f.Run = run
		}
		return f
	}
	var te *port.TargetError
	switch {
	case r.p.lostSince(r.epoch):
		return r.fault(&port.NotOwnerError{Partition: r.p.id})
	case r.ctx.Err() != nil && r.p.isOver(r.call.ProgramID):
		f := fault.New(fault.ProgramStopped, run, "the program has ended")
		return f.WithRequest(r.call.RequestID)
	case r.ctx.Err() != nil:
		return timedOut(run).WithRequest(r.call.RequestID).WithCause(err)
	case errors.As(err, &te):
		f := fault.New(fault.TargetFailed, run, "no target gave a whole answer")
		return f.WithRequest(r.call.RequestID).WithRetryAfter(retryAfter).WithCause(err)
	}
	return fault.New(fault.Internal, run, "internal failure").WithRequest(r.call.RequestID).WithCause(err)
}
