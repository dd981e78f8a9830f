package fleet

import (
	"cmp"
	"slices"
	"time"

	"yuccausher/internal/core/targetload"
)

const (
	// learnedTTL is the age from which on an estimate of a target says nothing. A busy target
	// gets several requests a second.
	learnedTTL = 15 * time.Second
	// speedsTTL is how long the median speed of a service is kept, which costs a sort.
	speedsTTL = 500 * time.Millisecond
	// minSpread is the ratio of the highest to the lowest speed of a service's targets from
	// which on speeds are regarded, keptSpread the one down to which they still are. Targets
	// that are alike differ by a few percent in their estimates.
	minSpread  = 1.25
	keptSpread = 1.15
	// maxRelativeSpeed limits how much faster or slower than the median a target counts.
	// Engines are 0.7 to 1.7 times as fast as others.
	maxRelativeSpeed = 2.5
	// streamGain is the weight of one stream in the mean number of events.
	streamGain = 0.05
)

// speeds is what a host knows of the speeds of a service's targets.
type speeds struct {
	// median is in events per second; zero if the targets look alike or too few are known.
	median float64
	at     time.Time
	// events is the mean number of events of a stream.
	events float64
}

// Learn records the estimate of a run of a target. It returns false if the fleet does not
// contain this run or if the estimate says nothing.
func (f *Fleet) Learn(id string, startedAt int64, e targetload.Estimate, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil || t.StartedAt != startedAt || e.Limit <= 0 || e.Age > learnedTTL {
		return false
	}
	t.learned, t.learnedAt = e, now.Add(-e.Age)
	return true
}

// ObserveStream records the number of events of a complete stream.
func (f *Fleet) ObserveStream(service string, events int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.speedsOf(service)
	if s.events == 0 {
		s.events = float64(events)
	}
	s.events += streamGain * (float64(events) - s.events)
}

// Run returns the start of the current run of a target and its number of slots; false if the
// fleet does not contain the target.
func (f *Fleet) Run(id string) (startedAt int64, slots int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil {
		return 0, 0, false
	}
	return t.StartedAt, t.Slots, true
}

// Capacity returns the number of requests that a target handles well and its speed relative to
// the median of its service: the slots of its record and 1 while all targets of the service
// look alike or nothing is known.
func (f *Fleet) Capacity(m Member, now time.Time) (limit int, speed float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[m.ID]
	if t == nil || !t.isSameRun(m) {
		return m.Slots, 1
	}
	return f.capacity(t, now)
}

func (f *Fleet) capacity(t *Target, now time.Time) (limit int, speed float64) {
	median := f.medianSpeed(t.Service, now)
	if median == 0 || !t.isLearned(now) {
		return t.Slots, 1
	}
	limit, speed = t.learned.Limit, 1
	if t.Slots > 0 {
		limit = min(limit, t.Slots)
	}
	if t.learned.EventsPerSecond > 0 {
		speed = min(max(t.learned.EventsPerSecond/median, 1/maxRelativeSpeed), maxRelativeSpeed)
	}
	return limit, speed
}

// isLearned reports whether anything is known of the target's speed or limit.
func (t *Target) isLearned(now time.Time) bool {
	return t.learned.Limit > 0 && now.Sub(t.learnedAt) <= learnedTTL
}

// streamTime returns the expected time of the events of a stream at a target, in seconds; zero
// if the targets look alike.
func (f *Fleet) streamTime(t *Target, now time.Time) float64 {
	median := f.medianSpeed(t.Service, now)
	if median == 0 {
		return 0
	}
	_, speed := f.capacity(t, now)
	return f.speedsOf(t.Service).events / (median * speed)
}

func (f *Fleet) speedsOf(service string) *speeds {
	s := f.speeds[service]
	if s == nil {
		s = &speeds{}
		f.speeds[service] = s
	}
	return s
}

// medianSpeed returns the median speed of a service's targets in events per second; zero if
// they look alike.
func (f *Fleet) medianSpeed(service string, now time.Time) float64 {
	s := f.speeds[service]
	if s == nil {
		return 0
	}
	if now.Sub(s.at) < speedsTTL {
		return s.median
	}
	s.at = now
	var rates []float64
	for _, t := range f.services[service] {
		if t.isLearned(now) && t.learned.EventsPerSecond > 0 && !t.Leaving {
			rates = append(rates, t.learned.EventsPerSecond)
		}
	}
	spread := minSpread
	if s.median > 0 {
		spread = keptSpread
	}
	slices.SortFunc(rates, cmp.Compare[float64])
	s.median = 0
	if n := len(rates); n > 1 && rates[n-1] >= spread*rates[0] {
		s.median = rates[n/2]
	}
	return s.median
}
