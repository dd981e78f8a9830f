package membership

import (
	"context"
	"time"

	core "yuccausher/internal/core/membership"
	"yuccausher/internal/port"
)

// maxQuarantined is the maximum number of fingerprints in one message.
const maxQuarantined = 16

// runProtocol calls tick whenever work of the protocol is due, until the service
// stops.
func (s *Service) runProtocol() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wakeCh:
		case <-timer.C:
		}
		timer.Reset(s.tick())
	}
}

// tick performs the work that is due and returns the time until the next tick.
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

// wake makes runProtocol call tick, because the next due time may have changed.
func (s *Service) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// exchange sends one message and reports whether it was answered.
func (s *Service) exchange(ctx context.Context, m core.Message) bool {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ExchangeTimeout)
	defer cancel()
	if m.ProbeHost != "" {
		return s.probeVia(ctx, m.To, m.ProbeHost)
	}
	reply, err := s.Peers.Gossip(ctx, m.To, s.withQuarantine(m.Gossip))
	if err != nil {
		s.Metrics.Counter("exchange_failures").Inc(1)
		s.Logger.V(2).Info("Exchange failed.", "host", m.To, "error", err.Error())
		return false
	}
	s.Metrics.Counter("exchanges").Inc(1)
	s.addQuarantined(reply.Quarantined)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleReply(time.Now(), reply)
	s.publish()
	s.wake()
	return true
}

// probeVia asks the host via to probe another host and reports whether that host
// answered.
func (s *Service) probeVia(ctx context.Context, via, host string) bool {
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

// withQuarantine returns g with the newest quarantined fingerprints of this host.
func (s *Service) withQuarantine(g port.Gossip) port.Gossip {
	if s.Quarantine == nil {
		return g
	}
	known := s.Quarantine.Quarantined()
	g.Quarantined = known[max(0, len(known)-maxQuarantined):]
	return g
}

// pollHostList reads the platform's host list periodically, so that the protocol
// contacts hosts that it does not know yet.
func (s *Service) pollHostList() {
	for s.ctx.Err() == nil {
		s.readHostList()
		timer := time.NewTimer(s.Settings.ListInterval)
		select {
		case <-s.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Service) readHostList() {
	ctx, cancel := context.WithTimeout(s.ctx, s.Settings.ListTimeout)
	defer cancel()
	hosts, err := s.HostList.Hosts(ctx)
	if err != nil {
		s.Metrics.Counter("list_failures").Inc(1)
		s.Logger.V(1).Info("Host list could not be read.", "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetHostList(hosts)
}

// reportStats adds the protocol's events since the last call to the metrics. The
// caller holds mu.
func (s *Service) reportStats() {
	stats := s.core.Stats()
	s.Metrics.Counter("deaths").Inc(stats.Deaths - s.reportedStats.Deaths)
	s.Metrics.Counter("refutations").Inc(stats.Refutations - s.reportedStats.Refutations)
	s.Metrics.Counter("suspicions").Inc(stats.Suspicions - s.reportedStats.Suspicions)
	s.Metrics.Counter("stalls").Inc(stats.Stalls - s.reportedStats.Stalls)
	s.Metrics.Counter("stale_contacts").Inc(stats.StaleContacts - s.reportedStats.StaleContacts)
	s.reportedStats = stats
}
