package owner

import (
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
)

const (
	sweepPeriod = time.Second
	// checkpointShare is the part of the retention after which a program is
	// written again.
	checkpointShare = 2
	// checkpointsPerSweep bounds the checkpoints of a partition at once.
	checkpointsPerSweep = 32
)

// sweep looks after the programs that nobody calls: it writes checkpoints,
// stops what has run out of time, evicts and forgets what has ended.
func (s *Service) sweep() {
	for sleep(s.ctx, sweepPeriod) {
		now := time.Now()
		s.restateQuarantines(now)
		for _, p := range s.layout.Load().parts {
			p.sweep(now)
		}
	}
}

func (p *part) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held() || p.releasing {
		return
	}
	p.restate(now)
	budget := checkpointsPerSweep
	p.l.Trees(func(t *ledger.Tree) {
		if budget > 0 && p.due(t.CheckpointedAt, now) {
			p.saveTree(t)
			budget--
		}
		t.Programs(func(g *ledger.Program) {
			if budget > 0 && p.due(g.CheckpointedAt, now) {
				p.save(g)
				budget--
			}
			p.sweepProgram(g, now)
		})
	})
}

func (p *part) sweepProgram(g *ledger.Program, now time.Time) {
	if g.State == ledger.Open {
		if reason := p.s.timeUp(g); reason != "" {
			p.stop(g, reason)
		}
		return
	}
	if len(g.Holders) > 0 || g.UnknownHolders {
		p.startEvict(g)
		return
	}
	v := p.live[g.ID]
	if v == nil && now.Sub(g.EndedAt) >= p.s.p.Settings.Expiry {
		p.sendOnce("forget/"+g.ID, &record.Record{Body: &record.Record_Forget{Forget: &record.Forget{ProgramId: g.ID}}})
	}
}

// timeUp returns the time limit that an open program has passed.
func (s *Service) timeUp(g *ledger.Program) string {
	if end := programDeadline(g); !end.IsZero() && !time.Now().Before(end) {
		return reasonDeadline
	}
	a := s.p.Config.Current().Agent(g.Open.Agent)
	if a != nil && a.MaxWallMS > 0 && time.Since(g.OpenedAt).Milliseconds() >= a.MaxWallMS {
		return reasonWallTime
	}
	return ""
}

// due says whether something written at that time must be written again.
func (p *part) due(saved, now time.Time) bool {
	return now.Sub(saved) >= p.s.p.Settings.Retention/checkpointShare
}

func (p *part) restate(now time.Time) {
	if !p.due(p.restated, now) {
		return
	}
	p.restated = now
	p.sendOnce("hold", &record.Record{
		Body: &record.Record_Hold{Hold: &record.Hold{Targets: p.heldIncarnations()}},
	})
}

// save writes a program again. If it changes before the checkpoint is seen,
// the next sweep writes it once more.
func (p *part) save(g *ledger.Program) {
	p.s.count("checkpoints")
	p.sendOnce("save/"+g.ID, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
}

func (p *part) saveTree(t *ledger.Tree) {
	p.sendOnce("tree/"+t.RootKey, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: t.Checkpoint()}})
}
