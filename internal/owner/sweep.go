package owner

import (
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
)

const (
	sweepInterval = time.Second
	// checkpointsPerRetention is how often a program is written within the log's
	// retention.
	checkpointsPerRetention = 2
	// maxCheckpointsPerSweep bounds the checkpoints of one partition per sweep.
	maxCheckpointsPerSweep = 32
)

// sweep does the periodic work that no call triggers: it writes checkpoints, stops
// programs that have exceeded a time limit, and evicts and forgets ended programs.
func (s *Service) sweep() {
	for sleep(s.ctx, sweepInterval) {
		now := time.Now()
		s.restateQuarantines(now)
		for _, p := range s.layout.Load().partitions {
			p.sweep(now)
		}
	}
}

func (p *partitionState) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.held() || p.releasing {
		return
	}
	p.restateClaim(now)
	budget := maxCheckpointsPerSweep
	p.ledger.Trees(func(t *ledger.Tree) {
		if budget > 0 && p.checkpointDue(t.CheckpointedAt, now) {
			p.checkpointTree(t)
			budget--
		}
		t.Programs(func(g *ledger.Program) {
			if budget > 0 && p.checkpointDue(g.CheckpointedAt, now) {
				p.checkpointProgram(g)
				budget--
			}
			p.sweepProgram(g, now)
		})
	})
}

func (p *partitionState) sweepProgram(g *ledger.Program, now time.Time) {
	if g.State == ledger.Open {
		if reason := p.service.timeLimitReached(g); reason != "" {
			p.stop(g, reason)
		}
		return
	}
	if len(g.Holders) > 0 || g.UnknownHolders {
		p.startEvict(g)
		return
	}
	v := p.activities[g.ID]
	if v == nil && now.Sub(g.EndedAt) >= p.service.params.Settings.Expiry {
		p.submitOnce("forget/"+g.ID, &record.Record{Body: &record.Record_Forget{Forget: &record.Forget{ProgramId: g.ID}}})
	}
}

// timeLimitReached returns the time limit that an open program has exceeded, or ""
// if there is none.
func (s *Service) timeLimitReached(g *ledger.Program) string {
	if end := programDeadline(g); !end.IsZero() && !time.Now().Before(end) {
		return reasonDeadline
	}
	a := s.params.Config.Current().Agent(g.Open.Agent)
	if a != nil && a.MaxWallMS > 0 && time.Since(g.OpenedAt).Milliseconds() >= a.MaxWallMS {
		return reasonWallTime
	}
	return ""
}

// checkpointDue reports whether a record written at the time saved has to be written
// again before it is trimmed.
func (p *partitionState) checkpointDue(saved, now time.Time) bool {
	return now.Sub(saved) >= p.service.params.Settings.Retention/checkpointsPerRetention
}

func (p *partitionState) restateClaim(now time.Time) {
	if !p.checkpointDue(p.claimRestatedAt, now) {
		return
	}
	p.claimRestatedAt = now
	p.submitOnce("hold", &record.Record{
		Body: &record.Record_Hold{Hold: &record.Hold{Targets: p.claimIncarnations()}},
	})
}

// checkpointProgram submits a checkpoint of a program. If the program changes before
// the checkpoint is confirmed, the next sweep submits another.
func (p *partitionState) checkpointProgram(g *ledger.Program) {
	p.service.count("checkpoints")
	p.submitOnce("save/"+g.ID, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
}

func (p *partitionState) checkpointTree(t *ledger.Tree) {
	p.submitOnce("tree/"+t.RootKey, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: t.Checkpoint()}})
}
