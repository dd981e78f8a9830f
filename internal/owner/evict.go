package owner

import (
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

const (
	evictTimeout  = 2 * time.Second
	evictPauseMin = 100 * time.Millisecond
	evictPauseMax = 5 * time.Second
)

// startEvict has the KV cache of an ended program dropped everywhere. The
// caller has the lock.
func (p *part) startEvict(g *ledger.Program) {
	if g.State == ledger.Open || !p.held() || (len(g.Holders) == 0 && !g.UnknownHolders) {
		return
	}
	v := p.of(g.ID)
	if v.evicting || v.running != nil {
		return
	}
	v.evicting = true
	holders := slices.Clone(g.Holders)
	p.s.p.Scheduler.ProgramEnded(g.ID, holders)
	epoch, strays := p.l.Epoch, g.UnknownHolders
	p.s.spawn(func() { p.evict(g.ID, epoch, holders, strays) })
}

// evict orders each holder to drop the cache, until it acknowledges or is
// gone. After a lost owner every engine is asked.
func (p *part) evict(id string, epoch int64, holders []string, strays bool) {
	names := slices.Clone(holders)
	if strays {
		for _, t := range p.s.engineTargets() {
			if !slices.Contains(names, t.Name) {
				names = append(names, t.Name)
			}
		}
	}
	done := true
	for _, name := range names {
		done = p.evictAt(id, epoch, name, slices.Contains(holders, name)) && done
	}
	if done && strays {
		p.ackEvict(id, epoch, "")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(id).evicting = false
	p.signalProgram(id)
}

func (p *part) evictAt(id string, epoch int64, name string, holder bool) bool {
	pause := evictPauseMin
	for !p.lostSince(epoch) {
		target, there := p.s.target(name)
		if !there || p.s.orderEvict(target, id) == nil {
			if holder {
				p.ackEvict(id, epoch, name)
			}
			return true
		}
		p.s.count("evictions_retried")
		if !sleep(p.s.ctx, pause) {
			return false
		}
		pause = min(2*pause, evictPauseMax)
	}
	return false
}

func (s *Service) orderEvict(target port.Target, id string) error {
	ctx, cancel := context.WithTimeout(s.ctx, evictTimeout)
	defer cancel()
	return s.p.Engine.Evict(ctx, target, id)
}

func (p *part) ackEvict(id string, epoch int64, target string) {
	p.s.count("evictions")
	_ = await(p.s.ctx, p.submitAt(epoch, &record.Record{Body: &record.Record_EvictAcked{EvictAcked: &record.EvictAcked{
		ProgramId: id,
		Target:    target,
	}}}))
}
