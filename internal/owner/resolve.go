package owner

import (
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// startResolve starts the resolution of an intent that has no outcome, as after its
// owner was lost. Callers that send the request again wait for the result. The
// caller holds p.mu.
func (p *partitionState) startResolve(g *ledger.Program) {
	v := p.activityOf(g.ID)
	if v.running != nil || v.unresolvedRecords > 0 || !p.held() {
		return
	}
	p.service.count("intents_in_doubt")
	intent := g.Intent
	r := newRunning(p, callOf(intent), intent.Fingerprint, time.Now().Add(p.service.params.Settings.CallTimeout))
	r.nonIdempotent = true
	r.phase = phaseDispatched
	v.running = r
	p.beginWork()
	p.service.spawn(func() {
		answer, err := r.resolve(intent)
		p.finish(r, answer, err)
	})
}

func callOf(i *record.Intent) port.Call {
	return port.Call{
		ProgramID: i.ProgramId,
		Seq:       i.Seq,
		RequestID: i.RequestId,
		Kind:      port.KindService,
		Service:   i.Service,
		Operation: i.Operation,
		Input:     i.Input,
	}
}

// resolve asks the target for the outcome of an intent and records it. It never
// dispatches the call again, even if the target reports that it did not run: the
// bytes of the first dispatch may still be in transit on an interrupted connection
// and arrive at any later time.
func (r *running) resolve(intent *record.Intent) (port.Answer, error) {
	s := r.partition.service
	seen := time.Now()
	target, found := s.target(intent.Target)
	if found {
		result, ran, known, err := s.askOnce(target, intent.Service, intent.RequestId)
		if err == nil && known && ran {
			return r.recordServiceAnswer(result, target.Name)
		}
	}
	allowed := time.Duration(intent.AllowedMs)*time.Millisecond + s.params.Settings.ClockAllowance
	if !sleep(s.ctx, time.Until(seen.Add(allowed))) {
		return port.Answer{}, s.ctx.Err()
	}
	if !found {
		return r.recordFailure(intent.Target, fault.OutcomeUnknown)
	}
	if result, ran := s.askOutcome(target, intent.Service, intent.RequestId); ran {
		return r.recordServiceAnswer(result, target.Name)
	}
	return r.recordFailure(target.Name, fault.OutcomeUnknown)
}

// target returns a target of the configuration in effect.
func (s *Service) target(name string) (port.Target, bool) {
	t := s.params.Config.Current().Target(name)
	if t == nil {
		return port.Target{}, false
	}
	return portTarget(t), true
}
