package owner

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"
	"unicode/utf8"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// Call runs the next call of a program. If the same call was sent before, it
// joins the running call or returns the recorded answer. It returns a
// *fault.Fault or *port.NotOwnerError on failure.
func (s *Service) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	if err := s.validateCall(&call); err != nil {
		return port.Answer{}, err
	}
	deadline := time.Now().Add(call.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return lookUp(ctx, s, call.ProgramID, fault.Unknown, func() (port.Answer, error) {
		return s.callUntil(ctx, call, deadline, sink)
	})
}

// callUntil runs a valid call, joins it or returns its recorded answer.
func (s *Service) callUntil(ctx context.Context, call port.Call, deadline time.Time, sink port.Sink) (port.Answer, error) {
	key := partition.RootKey(call.ProgramID)
	fingerprint := fingerprintOf(call)
	for {
		p, err := s.locate(ctx, key)
		if err != nil {
			return port.Answer{}, unclaimedCall(err, call)
		}
		a, err := p.admit(call, fingerprint, deadline)
		p.mu.Unlock()
		switch {
		case err != nil:
			return port.Answer{}, err
		case a.running != nil:
			return a.running.follow(ctx, sink)
		case a.turn != nil:
			return recordedAnswer(call.ProgramID, a.turn)
		}
		if err := p.awaitEarly(ctx, call.ProgramID, a); err != nil {
			return port.Answer{}, err
		}
	}
}

func (s *Service) validateCall(call *port.Call) error {
	snapshot := s.params.Config.Current()
	if snapshot == nil {
		return notReady()
	}
	switch {
	case call.Seq < 1:
		return invalid("seq", "must be at least 1")
	case call.RequestID == "" || !utf8.ValidString(call.RequestID):
		return invalid("request_id", "must be set and be UTF-8")
	case !json.Valid(call.Input):
		return invalid("input", "must be a JSON value")
	case call.Timeout < 0:
		return invalid("timeout_ms", "must not be negative")
	}
	if call.Timeout == 0 {
		call.Timeout = s.params.Settings.CallTimeout
	}
	switch call.Kind {
	case port.KindModel:
		return s.validateModel(snapshot.Model(call.Model) != nil, call)
	case port.KindService:
		return validateService(snapshot.Service(call.Service) != nil, call)
	}
	return invalid("kind", "must be model or service")
}

func (s *Service) validateModel(known bool, call *port.Call) error {
	if !known {
		return invalid("model", "must be a model of the configuration")
	}
	if call.MaxTokens < 1 {
		return invalid("max_tokens", "must be at least 1")
	}
	if !s.fitsOutput(call.Model, call.MaxTokens) {
		return invalid("max_tokens", "must be at most the model's max_output_tokens")
	}
	return nil
}

func validateService(known bool, call *port.Call) error {
	if !known {
		return invalid("service", "must be a service of the configuration")
	}
	if !utf8.ValidString(call.Operation) {
		return invalid("operation", "must be UTF-8")
	}
	return nil
}

func fingerprintOf(call port.Call) []byte {
	name := call.Model
	if call.Kind == port.KindService {
		name = call.Service
	}
	return ledger.Fingerprint(string(call.Kind), name, call.Operation, call.Input, call.MaxTokens)
}

// start starts a call in a new goroutine. The caller holds p.mu.
func (p *partitionState) start(g *ledger.Program, v *programActivity, call port.Call, fingerprint []byte, deadline time.Time) *running {
	if end := programDeadline(g); !end.IsZero() && end.Before(deadline) {
		deadline = end
	}
	r := newRunning(p, call, fingerprint, deadline)
	r.nonIdempotent = p.service.isNonIdempotent(call)
	r.mayHaveBeenDispatched = p.mayHaveBeenDispatched(g, call)
	r.addCaller()
	v.running = r
	p.beginWork()
	p.service.spawn(func() { p.run(r) })
	return r
}

// isNonIdempotent reports whether a call must not be repeated: a service call
// that the caller or the configuration does not declare idempotent.
func (s *Service) isNonIdempotent(call port.Call) bool {
	if call.Kind == port.KindModel {
		return false
	}
	return !call.Idempotent || !s.params.Config.Current().IsIdempotent(call.Service, call.Operation)
}

func programDeadline(g *ledger.Program) time.Time {
	if g.Open.DeadlineMs == 0 {
		return time.Time{}
	}
	return g.OpenedAt.Add(time.Duration(g.Open.DeadlineMs) * time.Millisecond)
}

// run executes a call and publishes the result to its callers.
func (p *partitionState) run(r *running) {
	answer, err := p.execute(r)
	p.finish(r, answer, err)
}

func (p *partitionState) execute(r *running) (port.Answer, error) {
	switch {
	case r.call.Kind == port.KindModel:
		return r.runModel()
	case r.nonIdempotent:
		return r.runNonIdempotent()
	}
	return r.runIdempotent()
}

// finish publishes the result of a running call and wakes the calls that wait for it.
func (p *partitionState) finish(r *running, answer port.Answer, err error) {
	defer r.cancel()
	if err != nil {
		err = r.fault(err)
		p.service.countFault(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.answer, r.err = answer, err
	close(r.done)
	if v := p.activities[r.call.ProgramID]; v != nil && v.running == r {
		v.running = nil
	}
	p.startDeferred(r.call.ProgramID)
	p.signalProgram(r.call.ProgramID)
	p.endWork()
}

// startDeferred starts the work that had to wait for the end of a call: the
// resolution of an intent that is still in doubt, or the eviction of a program
// that has ended meanwhile. The caller holds p.mu.
func (p *partitionState) startDeferred(id string) {
	g := p.ledger.Program(id)
	if g == nil || !p.held() {
		return
	}
	if g.Intent != nil {
		p.startResolve(g)
	}
	p.startEvict(g)
}

// answerOf returns the answer for a recorded turn.
func answerOf(programID string, t *record.Turn) port.Answer {
	return port.Answer{
		ProgramID:  programID,
		Seq:        t.Seq,
		RequestID:  t.RequestId,
		Output:     t.Output,
		Usage:      usageOf(t.Usage),
		Target:     t.Target,
		TurnDigest: digestText(t.Digest),
	}
}

// recordedAnswer returns a recorded outcome, which may be a failure.
func recordedAnswer(programID string, t *record.Turn) (port.Answer, error) {
	if t.Failure == "" {
		return answerOf(programID, t), nil
	}
	return port.Answer{}, failureOf(t)
}

// failureOf returns the fault for a recorded failure.
func failureOf(t *record.Turn) *fault.Fault {
	if fault.Type(t.Failure) == fault.OutcomeUnknown {
		return outcomeUnknown().WithRequest(t.RequestId)
	}
	f := fault.New(fault.Type(t.Failure), fault.Ran, "the target refused the call as wrong")
	return f.WithRequest(t.RequestId)
}

func digestText(digest []byte) string { return hex.EncodeToString(digest) }

func usageOf(u *record.Usage) port.Usage {
	return port.Usage{
		PromptTokens: u.GetPromptTokens(),
		CachedTokens: u.GetCachedTokens(),
		OutputTokens: u.GetOutputTokens(),
	}
}
