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

// resolve never dispatches the call while its first dispatch may still come.
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
	result, ran, known := s.askOutcome(target, intent.Service, intent.RequestId, true)
	switch {
	case known && ran:
		return r.concludeService(result, target.Name)
	case known:
		return r.runAgain()
	}
	return r.concludeFailure(target.Name, fault.OutcomeUnknown)
}

// runAgain withdraws an intent whose call provably did not run. It runs the
// call if somebody waits for it.
func (r *running) runAgain() (port.Answer, error) {
	f := fault.New(fault.TargetFailed, fault.NotRun, "the call did not run").WithRetryAfter(retryAfter)
	if err := r.withdraw(f); err != f {
		return port.Answer{}, err
	}
	r.mu.Lock()
	awaited := r.callers > 0
	r.mu.Unlock()
	if !awaited || r.p.isOver(r.call.ProgramID) {
		return port.Answer{}, f
	}
	return r.runOnce()
}

// target looks a target up in the configuration in force.
func (s *Service) target(name string) (port.Target, bool) {
	t := s.p.Config.Current().Target(name)
	if t == nil {
		return port.Target{}, false
	}
	return portTarget(t), true
}
