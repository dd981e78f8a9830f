package occupancy

import (
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/targetload"
	"yuccausher/internal/port"
)

const (
	// learnerTTL is how long what was learned of a target is kept without samples.
	learnerTTL = 2 * time.Minute
	// maxLearners limits the targets of which a host keeps samples; those of which it is no
	// coordinator included. It is above the 600 targets that the system is designed for.
	maxLearners = 1024
	// maxGauged limits the targets with gauges, which metrics never forget. A host coordinates
	// some tens of targets.
	maxGauged = 64
	// notableChange is the change of a learned limit, as a share of the last logged one, from
	// which on it is logged, minLogInterval the least time between two such lines of a target.
	notableChange  = 0.25
	minLogInterval = 10 * time.Second
	// maxLateShare is by how much of a request's time the host may be late for its sample to be
	// used. The mean gap is wrong by at most as much, since only its first and last event count.
	maxLateShare = 0.05
)

// Targets holds what a host knows of the speeds of targets. It is implemented by *fleet.Fleet.
type Targets interface {
	// Run returns the start of the current run of a target and its slots; false if the target
	// is not known.
	Run(target string) (startedAt int64, slots int, ok bool)
	// Learn records the estimate of a run of a target. It returns false if it says nothing.
	Learn(target string, startedAt int64, e targetload.Estimate, now time.Time) bool
	// ObserveStream records the number of events of a complete stream.
	ObserveStream(service string, events int)
	// Capacity returns the number of requests that a target handles well and its speed
	// relative to the median of its service.
	Capacity(m fleet.Member, now time.Time) (limit int, speed float64)
}

// learner is what the samples of a run of a target have shown.
type learner struct {
	startedAt int64
	*targetload.Estimator
	usedAt time.Time
	// isCoordinated is set once another host has sent a sample or this host has coordinated
	// one of its own.
	isCoordinated bool
	loggedLimit   int
	loggedAt      time.Time
	// gauges are nil for targets without.
	gauges *learnedGauges
}

// learnedGauges show what was learned of a target.
type learnedGauges struct{ limit, eventsPerSecond, age tally.Gauge }

// recordSample adds a sample of a target. load is the mean number of requests at the target
// while the request was there. isCoordinated is set if this host is the target's coordinator.
func (s *Service) recordSample(target string, o port.Observation, load float64, isCoordinated bool, now time.Time) {
	if o.Sample == (targetload.Sample{}) {
		return
	}
	startedAt, slots, ok := s.targets.Run(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || startedAt != o.StartedAt {
		// This host knows only another run of the target.
		s.metrics.strangeSamples.Inc(1)
		return
	}
	l := s.learners[target]
	if l == nil || l.startedAt != startedAt || l.Slots() != max(slots, 1) {
		if l == nil && len(s.learners) >= maxLearners {
			s.metrics.strangeSamples.Inc(1)
			return
		}
		fresh := &learner{startedAt: startedAt, Estimator: targetload.New(slots)}
		if l != nil {
			fresh.gauges = l.gauges
		}
		l = fresh
		s.learners[target] = l
	}
	s.metrics.samples.Inc(1)
	l.usedAt, l.isCoordinated = now, l.isCoordinated || isCoordinated
	l.Observe(o.Sample, load, now)
	s.logLimit(target, l, now)
}

// logLimit logs a notable change of a learned limit. The caller holds s.mu.
func (s *Service) logLimit(target string, l *learner, now time.Time) {
	e := l.Estimate(now)
	if !l.isCoordinated || !e.IsKnown() || now.Sub(l.loggedAt) < minLogInterval {
		return
	}
	before := l.loggedLimit
	if before == 0 {
		before = l.Slots()
	}
	if change := float64(e.Limit - before); change*change < (notableChange*float64(before))*(notableChange*float64(before)) || e.Limit == before {
		return
	}
	l.loggedLimit, l.loggedAt = e.Limit, now
	s.metrics.changedLimits.Inc(1)
	s.log.Info("Learned limit of a target changed.", "target", target, "limit", e.Limit, "before", before, "slots", l.Slots(),
		"events_per_second", e.EventsPerSecond)
}

// estimate returns what was learned of the current run of a target. The caller holds s.mu.
func (s *Service) estimate(target string, now time.Time) port.Learned {
	l := s.learners[target]
	if l == nil {
		return port.Learned{}
	}
	return port.Learned{StartedAt: l.startedAt, Estimate: l.Estimate(now)}
}

// learnTarget uses what a coordinator has learned of a target, or what this host has seen
// itself if the coordinator knows nothing.
func (s *Service) learnTarget(target string, l port.Learned) {
	now := time.Now()
	if l.Limit == 0 {
		s.mu.Lock()
		l = s.estimate(target, now)
		s.mu.Unlock()
	}
	if l.Limit > 0 {
		s.targets.Learn(target, l.StartedAt, l.Estimate, now)
	}
}

// sampler takes the sample of one placed request.
type sampler struct {
	s          *Service
	member     fleet.Member
	inProgress int
	placedAt   time.Time
	sample     targetload.Sample
}

func (s *Service) newSampler(m fleet.Member, inProgress int) *sampler {
	return &sampler{s: s, member: m, inProgress: inProgress, placedAt: time.Now()}
}

// observe takes a sample unless the host itself was late, so that its times say little.
func (p *sampler) observe(sample targetload.Sample) {
	if sample.Gap > 0 {
		p.s.targets.ObserveStream(p.member.Service, sample.Events)
	}
	if !sample.IsRefused && p.s.lateness.Recent().Seconds() > maxLateShare*time.Since(p.placedAt).Seconds() {
		p.s.metrics.lateSamples.Inc(1)
		return
	}
	sample.InProgress = p.inProgress
	p.sample = sample
}

// observation returns the sample taken; the zero value if none.
func (p *sampler) observation() port.Observation {
	if p.sample == (targetload.Sample{}) {
		return port.Observation{}
	}
	return port.Observation{StartedAt: p.member.StartedAt, Sample: p.sample}
}

// dropIdleLearners drops what was learned of targets without samples of late, and shows the
// rest. The caller holds s.mu.
func (s *Service) dropIdleLearners(now time.Time) {
	for target, l := range s.learners {
		if now.Sub(l.usedAt) > learnerTTL {
			delete(s.learners, target)
			l.show(targetload.Estimate{})
			continue
		}
		if l.gauges == nil && l.isCoordinated && s.gauged < maxGauged {
			s.gauged++
			scope := s.metrics.scope.Tagged(map[string]string{"target": target})
			l.gauges = &learnedGauges{limit: scope.Gauge("learned_limit"), eventsPerSecond: scope.Gauge("learned_events_per_second"), age: scope.Gauge("learned_age_seconds")}
		}
		l.show(l.Estimate(now))
	}
}

func (l *learner) show(e targetload.Estimate) {
	if l.gauges == nil {
		return
	}
	l.gauges.limit.Update(float64(e.Limit))
	l.gauges.eventsPerSecond.Update(e.EventsPerSecond)
	l.gauges.age.Update(e.Age.Seconds())
}
