package owner

import (
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// startResolve settles an intent that an earlier owner left in doubt. Callers
// that send the request again wait for the result. The caller has the lock.
func (p *part) startResolve(g *ledger.Program) {
	v := p.of(g.ID)
	if v.running != nil || v.unsettled > 0 || !p.held() {
		return
	}
	p.s.count("intents_in_doubt")
	intent := g.Intent
	r := newRunning(p, callOf(intent), intent.Fingerprint, time.Now().Add(p.s.p.Settings.CallTimeout))
	r.once = true
	r.phase = phaseDispatched
	v.running = r
	p.begin()
	p.s.spawn(func() {
		answer, err := r.resolve(intent)
		p.end(r, answer, err)
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

// resolve never dispatches the call again, also where the target says that it
// did not run: bytes of the first dispatch may lie in a connection that was cut
// and arrive at any later time.
func (r *running) resolve(intent *record.Intent) (port.Answer, error) {
	s := r.p.s
	seen := time.Now()
	target, there := s.target(intent.Target)
	if there {
		result, ran, known, err := s.askOnce(target, intent.Service, intent.RequestId)
		if err == nil && known && ran {
			return r.concludeService(result, target.Name)
		}
	}
	allowed := time.Duration(intent.AllowedMs)*time.Millisecond + s.p.Settings.ClockAllowance
	if !sleep(s.ctx, time.Until(seen.Add(allowed))) {
		return port.Answer{}, s.ctx.Err()
	}
	if !there {
		return r.concludeFailure(intent.Target, fault.OutcomeUnknown)
	}
	if result, ran := s.askOutcome(target, intent.Service, intent.RequestId); ran {
		return r.concludeService(result, target.Name)
	}
	return r.concludeFailure(target.Name, fault.OutcomeUnknown)
}

// target looks a target up in the configuration in force.
func (s *Service) target(name string) (port.Target, bool) {
	t := s.p.Config.Current().Target(name)
	if t == nil {
		return port.Target{}, false
	}
	return portTarget(t), true
}
