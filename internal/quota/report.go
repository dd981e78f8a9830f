package quota

import (
	"time"

	core "yuccausher/internal/core/quota"
)

// run reports until the service is stopped.
func (s *Service) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.coordinate(time.Now())
			s.report(time.Now())
			s.done.Go(func() { s.collect(s.ctx) })
		}
	}
}

// coordinate advances the organisations that this host coordinates and drops idle ones.
func (s *Service) coordinate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateHosts(now)
	for name, c := range s.coordinated {
		if c.IdleFor(now) > idleTime {
			delete(s.coordinated, name)
			continue
		}
		c.Advance(now)
		if s.active[name] == nil {
			c.Heard(s.peers.Self(), uint64(s.process), now)
		}
	}
}

// batch is the reports for one coordinator.
type batch struct {
	organisations []*organisation
	reports       []core.Report
}

// report reports to all coordinators what has been admitted since the last reports.
func (s *Service) report(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batches := make(map[string]*batch)
	for name, o := range s.active {
		candidates, _ := s.candidates(name, now)
		o.host.Retain(candidates, maxCoordinators)
		isDue, isActing, told := false, true, 0
		for i, c := range candidates {
			if c != s.peers.Self() && s.paused.IsPaused(c, now) {
				isDue = isDue || i < maxCoordinators
				continue
			}
			if told++; told > maxCoordinators {
				break
			}
			if o.host.IsDue(c, now) && !s.reporting[c] {
				b := batches[c]
				if b == nil {
					b = &batch{}
					batches[c] = b
				}
				if len(b.reports) < maxBatch {
					r := o.host.Report(c, 0, isActing, now)
					r.Organisation = name
					b.organisations, b.reports = append(b.organisations, o), append(b.reports, r)
				}
				isDue = true
			}
			isDue = isDue || s.reporting[c]
			isActing = false
		}
		if !isDue && !o.host.IsHolding(now) {
			delete(s.active, name)
		}
	}
	for c, b := range batches {
		s.reporting[c] = true
		s.done.Go(func() { s.send(c, b, now) })
	}
}

// send sends reports to one coordinator.
func (s *Service) send(coordinator string, b *batch, sent time.Time) {
	replies, err := s.tell(s.ctx, coordinator, b.reports, reportTimeout)
	s.metrics.reported.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reporting, coordinator)
	if err != nil {
		return // it is reported again with the next report
	}
	for i, o := range b.organisations {
		o.host.Answered(coordinator, b.reports[i], replies[i], sent, time.Now())
	}
}
