package quota

import (
	"context"
	"sync"
	"time"

	core "yuccausher/internal/core/quota"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/port"
)

const (
	// collectTimeout limits the wait for reports that a coordinator asks for. Hosts answer within
	// a few milliseconds, those in other regions within some 20 ms.
	collectTimeout = 40 * time.Millisecond
	// maxCollects limits the hosts that are asked at the same time.
	maxCollects = 64
	// maxCollected limits the organisations that are asked about in one message.
	maxCollected = 256
	// idleTime is how long the state of an organisation is kept that no host reports on. Its
	// bucket has refilled by then, as one that is made anew.
	idleTime = time.Minute
)

// firstOf returns the coordinators of an organisation for a list of hosts.
func (s *Service) firstOf(name string, hosts []string) []string {
	order := rendezvous.Order(name, hosts, func(host string) string { return host })
	return order[:min(maxCoordinators, len(order))]
}

// coordinator returns the state of an organisation that this host coordinates. The caller holds s.mu.
func (s *Service) coordinator(r core.Report, now time.Time) *core.Coordinator {
	c := s.coordinated[r.Organisation]
	if c == nil {
		s.updateHosts(now)
		since := s.coordinatorSince(r.Organisation)
		c = core.NewCoordinator(s.tolerance, r.Limit, s.lists[0].hosts, since, now)
		s.setOther(r.Organisation, c, now)
		s.coordinated[r.Organisation] = c
		s.log.Info("Coordinating an organisation.", "organisation", r.Organisation, "is_first", !since.IsZero(), "hosts", len(s.lists[0].hosts))
	}
	return c
}

// TellLocal implements port.QuotaServer.
func (s *Service) TellLocal(ctx context.Context, r port.QuotaReports) []core.Reply {
	replies := make([]core.Reply, len(r.Reports))
	var refused []int
	s.mu.Lock()
	for i, report := range r.Reports {
		now := time.Now()
		replies[i] = s.coordinator(report, now).Report(r.From, report, now)
		if replies[i].IsPartial && report.Want > 0 {
			refused = append(refused, i)
		}
	}
	s.mu.Unlock()
	if len(refused) == 0 || !s.collect(ctx) {
		return replies
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range refused {
		report, granted := r.Reports[i], replies[i].Granted
		report.Want -= granted
		now := time.Now()
		replies[i] = s.coordinator(report, now).Regrant(r.From, report, now)
		replies[i].Granted += granted
	}
	return replies
}

// CollectLocal implements port.QuotaServer.
func (s *Service) CollectLocal(coordinator string, names []string) port.QuotaCollection {
	s.mu.Lock()
	defer s.mu.Unlock()
	collection := port.QuotaCollection{Process: uint64(s.process)}
	for _, name := range names {
		if o := s.organisations[name]; o != nil {
			r := o.host.Collected(coordinator, time.Now())
			r.Organisation = name
			collection.Reports = append(collection.Reports, r)
		}
	}
	return collection
}

// collect asks silent hosts for their reports on the organisations that need them, and waits for
// collectTimeout. It returns false if there was no host to ask.
func (s *Service) collect(ctx context.Context) bool {
	s.mu.Lock()
	finished := s.collecting
	if finished == nil {
		if finished = s.startCollecting(time.Now()); finished == nil {
			s.mu.Unlock()
			return false
		}
	}
	s.mu.Unlock()
	timer := time.NewTimer(collectTimeout)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// startCollecting starts to ask hosts for reports, and returns a channel that is closed at the end; nil
// if there is no host to ask. The caller holds s.mu.
func (s *Service) startCollecting(now time.Time) chan struct{} {
	asked := make(map[string][]string)
	for name, c := range s.coordinated {
		for _, host := range c.Poll(now) {
			if host != s.peers.Self() && !s.paused.IsPaused(host, now) && len(asked[host]) < maxCollected {
				asked[host] = append(asked[host], name)
			}
		}
	}
	if len(asked) == 0 || s.ctx.Err() != nil {
		return nil
	}
	finished := make(chan struct{})
	s.collecting = finished
	s.done.Go(func() {
		defer close(finished)
		limit := make(chan struct{}, maxCollects)
		var all sync.WaitGroup
		for host, names := range asked {
			limit <- struct{}{}
			all.Go(func() {
				defer func() { <-limit }()
				s.collectFrom(host, names)
			})
		}
		all.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.collecting = nil
	})
	return finished
}

// collectFrom asks one host for its reports.
func (s *Service) collectFrom(host string, names []string) {
	ctx, cancel := context.WithTimeout(s.ctx, collectTimeout)
	defer cancel()
	s.metrics.collected.Inc(1)
	sent := time.Now()
	collection, err := s.peers.Collect(ctx, host, names)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.recordAnswer(host, err)
	if err != nil {
		return
	}
	now := time.Now()
	reported := make(map[string]core.Report, len(collection.Reports))
	for _, r := range collection.Reports {
		reported[r.Organisation] = r
	}
	for _, name := range names {
		c := s.coordinated[name]
		if c == nil {
			continue
		}
		c.Reached(host, sent)
		if r, ok := reported[name]; ok {
			c.Report(host, r, now)
		} else {
			c.Heard(host, collection.Process, now)
		}
	}
}
