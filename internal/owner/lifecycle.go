package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// The reasons for which a program is stopped.
const (
	reasonTurns    = "max_turns"
	reasonTokens   = "max_tokens"
	reasonWallTime = "max_wall_ms"
	reasonRepeats  = "max_repeats"
	reasonDeadline = "deadline"
)

// Program returns what is known of a program.
func (s *Service) Program(ctx context.Context, id string) (port.ProgramView, error) {
	p, g, err := s.find(ctx, id)
	if err != nil {
		return port.ProgramView{}, err
	}
	defer p.mu.Unlock()
	return p.programView(g), nil
}

// find returns a program with its partition locked.
func (s *Service) find(ctx context.Context, id string) (*part, *ledger.Program, error) {
	var g *ledger.Program
	p, err := confirmed(ctx, s, id, fault.NotRun, func() (p *part, err error) {
		p, g, err = s.findNow(ctx, id)
		return p, err
	})
	return p, g, err
}

func (s *Service) findNow(ctx context.Context, id string) (*part, *ledger.Program, error) {
	p, err := s.locate(ctx, partition.RootKey(id))
	if err != nil {
		return nil, nil, err
	}
	g := p.l.Program(id)
	if g == nil {
		p.mu.Unlock()
		return nil, nil, unknownProgram()
	}
	return p, g, nil
}

// History returns the outcomes of a program's calls.
func (s *Service) History(ctx context.Context, id string) ([]port.Turn, error) {
	p, g, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	records := g.Turns
	p.mu.Unlock()
	turns := make([]port.Turn, 0, len(records))
	for _, t := range records {
		turns = append(turns, historyTurn(t))
	}
	return turns, nil
}

func historyTurn(t *record.Turn) port.Turn {
	h := port.Turn{
		Seq:        t.Seq,
		RequestID:  t.RequestId,
		Kind:       port.Kind(t.Kind),
		Input:      t.Input,
		Output:     t.Output,
		Usage:      usageOf(t.Usage),
		Target:     t.Target,
		TurnDigest: digestText(t.Digest),
		Failure:    t.Failure,
	}
	if h.Kind == port.KindModel {
		h.Model = t.Name
	} else {
		h.Service = t.Name
		h.Operation = t.Operation
	}
	if len(h.Output) == 0 {
		h.Output = []byte("null")
	}
	return h
}

// Answer returns the recorded answer of a call, or says that it runs.
func (s *Service) Answer(ctx context.Context, id string, seq int64) (port.Answer, bool, error) {
	p, g, err := s.find(ctx, id)
	if err != nil {
		return port.Answer{}, false, err
	}
	defer p.mu.Unlock()
	if t := g.Turn(seq); t != nil {
		answer, err := repeat(id, t)
		return answer, false, err
	}
	v := p.live[id]
	if v != nil && v.running != nil && v.running.call.Seq == seq {
		return port.Answer{}, true, nil
	}
	if g.Intent != nil && g.Intent.Seq == seq {
		return port.Answer{}, true, nil
	}
	run := fault.NotRun
	if g.MayHaveBeenDispatched(seq) || (v != nil && v.left == seq) {
		run = fault.Unknown
	}
	return port.Answer{}, false, fault.New(fault.UnknownCall, run, "no call with this seq has an outcome or runs")
}

// End ends a program. A model call under way is cancelled.
func (s *Service) End(ctx context.Context, id string) (port.ProgramView, error) {
	ctx, cancel := context.WithTimeout(ctx, s.p.Settings.CallTimeout)
	defer cancel()
	for {
		p, g, err := s.find(ctx, id)
		if err != nil {
			return port.ProgramView{}, err
		}
		if g.State != ledger.Open {
			view := p.programView(g)
			p.mu.Unlock()
			return view, nil
		}
		r := p.stop(g, "")
		p.mu.Unlock()
		if err := await(ctx, r); err != nil && !isRefused(err) {
			return port.ProgramView{}, endFault(ctx, err)
		}
	}
}

func endFault(ctx context.Context, err error) error {
	var n *port.NotOwnerError
	if errors.As(err, &n) {
		return err
	}
	if ctx.Err() != nil {
		// The record may still take effect.
		return logUnavailable(fault.Unknown).WithCause(err)
	}
	return fault.New(fault.Internal, fault.Unknown, "the program was not ended").WithCause(err)
}

// stop sends a program's end. The caller has the lock.
func (p *part) stop(g *ledger.Program, reason string) *pending {
	if reason != "" {
		p.s.p.Metrics.Tagged(map[string]string{"reason": reason}).Counter("programs_stopped").Inc(1)
	}
	return p.sendOnce("end/"+g.ID, &record.Record{Body: &record.Record_End{End: &record.End{
		ProgramId: g.ID,
		Reason:    reason,
	}}})
}

// ended follows the end of a program. The caller has the lock.
func (p *part) ended(id string) {
	if v := p.live[id]; v != nil && v.running != nil {
		v.running.cancelUnlessLeft()
	}
	p.signalProgram(id)
	if g := p.l.Program(id); g != nil {
		p.recordLatency(g)
		p.startEvict(g)
	}
}

// isOver says whether a program is not open any more.
func (p *part) isOver(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.l.Program(id)
	return g != nil && g.State != ledger.Open
}

// limitReached returns the limit that the program's next call would break.
func (s *Service) limitReached(g *ledger.Program, fingerprint []byte) string {
	if end := programDeadline(g); !end.IsZero() && !time.Now().Before(end) {
		return reasonDeadline
	}
	a := s.p.Config.Current().Agent(g.Open.Agent)
	if a == nil {
		return ""
	}
	switch {
	case a.MaxTurns > 0 && g.NextSeq() > a.MaxTurns:
		return reasonTurns
	case a.MaxTokens > 0 && g.Spent >= a.MaxTokens:
		return reasonTokens
	case a.MaxWallMS > 0 && time.Since(g.OpenedAt).Milliseconds() >= a.MaxWallMS:
		return reasonWallTime
	case a.MaxRepeats > 0 && g.Repeats(fingerprint) >= a.MaxRepeats:
		return reasonRepeats
	}
	return ""
}
