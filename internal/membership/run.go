package membership

import (
	"context"
	"time"

	core "yuccausher/internal/core/membership"
	"yuccausher/internal/port"
)

// maxQuarantined bounds the fingerprints of one message.
const maxQuarantined = 16

// beat calls the core when something is due.
func (s *Service) beat() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.kick:
		case <-timer.C:
		}
		timer.Reset(s.tick())
	}
}

// tick does what is due and returns the time until the next tick.
func (s *Service) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait := s.core.Due().Sub(now); wait > 0 {
		return wait
	}
	s.core.SetConfigVersion(s.configVersion())
	for _, m := range s.core.Tick(now) {
		s.tasks.Go(func() { s.exchange(s.ctx, m) })
	}
	s.publish()
	return s.core.Due().Sub(now)
}

// wake lets the timer loop look at what is due.
func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// exchange makes one exchange and says whether it was answered.
func (s *Service) exchange(ctx context.Context, m core.Message) bool {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ExchangeTimeout)
	defer cancel()
	if m.ProbeHost != "" {
		return s.reachVia(ctx, m.To, m.ProbeHost)
	}
	reply, err := s.Peers.Gossip(ctx, m.To, s.withQuarantine(m.Gossip))
	if err != nil {
		s.Metrics.Counter("exchange_failures").Inc(1)
		s.Logger.V(2).Info("exchange failed", "host", m.To, "error", err.Error())
		return false
	}
	s.Metrics.Counter("exchanges").Inc(1)
	s.learn(reply.Quarantined)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleReply(time.Now(), reply)
	s.publish()
	s.wake()
	return true
}

// reachVia asks one host to reach another.
func (s *Service) reachVia(ctx context.Context, via, host string) bool {
	reached, err := s.Peers.GossipVia(ctx, via, host)
	s.Metrics.Counter("indirect_probes").Inc(1)
	if err != nil || !reached {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleIndirectAck(time.Now(), host)
	s.publish()
	return true
}

func (s *Service) withQuarantine(g port.Gossip) port.Gossip {
	if s.Quarantine == nil {
		return g
	}
	known := s.Quarantine.Quarantined()
	g.Quarantined = known[max(0, len(known)-maxQuarantined):]
	return g
}

// followList reads the host list for hosts that the protocol does not know.
func (s *Service) followList() {
	for s.ctx.Err() == nil {
		s.readList()
		timer := time.NewTimer(s.Settings.ListInterval)
		select {
		case <-s.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Service) readList() {
	ctx, cancel := context.WithTimeout(s.ctx, s.Settings.ListTimeout)
	defer cancel()
	hosts, err := s.HostList.Hosts(ctx)
	if err != nil {
		s.Metrics.Counter("list_failures").Inc(1)
		s.Logger.V(1).Info("host list not read", "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetHostList(hosts)
}

// count reports what the protocol did since the last call. The caller holds
// mu.
func (s *Service) count() {
	stats := s.core.Stats()
	s.Metrics.Counter("deaths").Inc(stats.Deaths - s.counted.Deaths)
	s.Metrics.Counter("refutations").Inc(stats.Refutations - s.counted.Refutations)
	s.Metrics.Counter("suspicions").Inc(stats.Suspicions - s.counted.Suspicions)
	s.Metrics.Counter("stalls").Inc(stats.Stalls - s.counted.Stalls)
	s.Metrics.Counter("stale_contacts").Inc(stats.StaleContacts - s.counted.StaleContacts)
	s.counted = stats
}
