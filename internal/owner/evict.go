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

// startEvict starts the eviction of an ended program's KV cache from all holders.
// The caller holds p.mu.
func (p *partitionState) startEvict(g *ledger.Program) {
	if g.State == ledger.Open || !p.held() || (len(g.Holders) == 0 && !g.UnknownHolders) {
		return
	}
	v := p.activityOf(g.ID)
	if v.evicting || v.running != nil {
		return
	}
	v.evicting = true
	holders := slices.Clone(g.Holders)
	p.service.params.Scheduler.ProgramEnded(g.ID, holders)
	epoch, unknownHolders := p.ledger.Epoch, g.UnknownHolders
	p.service.spawn(func() { p.evict(g.ID, epoch, holders, unknownHolders) })
}

// evict sends an eviction to each holder until it acknowledges or is removed from
// the configuration. If there may be unknown holders, as after an owner was lost,
// it sends one to every engine.
func (p *partitionState) evict(id string, epoch int64, holders []string, unknownHolders bool) {
	names := slices.Clone(holders)
	if unknownHolders {
		for _, t := range p.service.engineTargets() {
			if !slices.Contains(names, t.Name) {
				names = append(names, t.Name)
			}
		}
	}
	done := true
	for _, name := range names {
		done = p.evictFrom(id, epoch, name, slices.Contains(holders, name)) && done
	}
	if done && unknownHolders {
		p.ackEvict(id, epoch, "")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activityOf(id).evicting = false
	p.signalProgram(id)
}

func (p *partitionState) evictFrom(id string, epoch int64, name string, holder bool) bool {
	pause := evictPauseMin
	for !p.ownershipLost(epoch) {
		target, found := p.service.target(name)
		if !found || p.service.sendEvict(target, id) == nil {
			if holder {
				p.ackEvict(id, epoch, name)
			}
			return true
		}
		p.service.count("evictions_retried")
		if !sleep(p.service.ctx, pause) {
			return false
		}
		pause = min(2*pause, evictPauseMax)
	}
	return false
}

func (s *Service) sendEvict(target port.Target, id string) error {
	ctx, cancel := context.WithTimeout(s.ctx, evictTimeout)
	defer cancel()
	return s.params.Engine.Evict(ctx, target, id)
}

func (p *partitionState) ackEvict(id string, epoch int64, target string) {
	p.service.count("evictions")
	_ = await(p.service.ctx, p.submitAt(epoch, &record.Record{Body: &record.Record_EvictAcked{EvictAcked: &record.EvictAcked{
		ProgramId: id,
		Target:    target,
	}}}))
}
