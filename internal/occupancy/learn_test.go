package occupancy

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/targetload"
	"yuccausher/internal/gateway"
)

// addTargets makes targets known to all hosts.
func (h *hosts) addTargets(list []fleet.Member) {
	for _, name := range h.names {
		for _, m := range list {
			h.fleetOf(name).Put(m)
		}
	}
}

// stream returns the sample of a stream whose events came at a rate.
func stream(eventsPerSecond float64) targetload.Sample {
	gap := time.Duration(float64(time.Second) / eventsPerSecond)
	return targetload.Sample{First: 20 * time.Millisecond, Gap: gap, Events: 60}
}

// send places a request of a host and ends it as the rates of the targets say.
func (h *hosts) send(t *testing.T, name string, candidates []fleet.Member, rates map[string]float64) gateway.Place {
	t.Helper()
	p := h.services[name].Place(t.Context(), request(candidates))
	time.Sleep(100 * time.Millisecond)
	p.Observe(stream(rates[candidates[p.Index].ID]))
	p.Finish(occupancy.Answered)
	time.Sleep(10 * time.Millisecond)
	return p
}

// rotated returns the members, each time with another one first.
func rotated(list []fleet.Member, n int) []fleet.Member {
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

// A host that has sent nothing to a target must know its speed from the requests of others,
// once it has asked its coordinator.
func TestHostsLearnSpeedsFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 5)
		targets := members(2, 8)
		h.addTargets(targets)
		rates := map[string]float64{"target-0": 50, "target-1": 100}
		for i := range 60 {
			h.send(t, h.names[i%4], rotated(targets, i), rates)
		}
		last := h.names[4]
		for i := range 2 {
			h.services[last].Place(t.Context(), request(rotated(targets, i))).Finish(occupancy.Inconclusive)
		}
		h.fleetOf(last).ObserveStream("models", 60)
		time.Sleep(time.Second)
		_, slow := h.fleetOf(last).Capacity(targets[0], time.Now())
		_, fast := h.fleetOf(last).Capacity(targets[1], time.Now())
		t.Logf("relative speeds %.2f and %.2f", slow, fast)
		is.True(fast/slow > 1.8 && fast/slow < 2.2)
	})
}

// While all targets look alike, requests must be placed as without samples.
func TestLikeTargetsArePlacedAsWithoutSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plain, h := newHosts(t, 3), newHosts(t, 3)
		targets := members(3, 2)
		h.addTargets(targets)
		rates := map[string]float64{"target-0": 80, "target-1": 82, "target-2": 84}
		for i := range 40 {
			h.send(t, h.names[i%3], rotated(targets, i), rates)
		}
		for i := range 12 {
			want := plain.services[h.names[i%3]].Place(t.Context(), request(rotated(targets, i)))
			got := h.services[h.names[i%3]].Place(t.Context(), request(rotated(targets, i)))
			is.Equal(got.Index, want.Index)
		}
	})
}

// A host that reaches no coordinator must use its own samples, and a new run of a target must
// start from scratch.
func TestHostWithoutCoordinatorsUsesItsOwnSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 3)
		targets := members(2, 8)
		h.addTargets(targets)
		for _, name := range h.names[1:] {
			h.change(func() { h.silent[name] = true })
		}
		self := h.names[0]
		rates := map[string]float64{"target-0": 50, "target-1": 100}
		for i := range 40 {
			h.send(t, self, rotated(targets, i), rates)
		}
		_, slow := h.fleetOf(self).Capacity(targets[0], time.Now())
		_, fast := h.fleetOf(self).Capacity(targets[1], time.Now())
		is.True(fast > 1.8*slow)
		next := targets[0]
		next.StartedAt++
		h.fleetOf(self).Put(next)
		h.send(t, self, []fleet.Member{next, targets[1]}, map[string]float64{"target-0": 90, "target-1": 100})
		limit, speed := h.fleetOf(self).Capacity(next, time.Now())
		is.Equal(limit, next.Slots)
		is.Equal(speed, 1.0)
	})
}

// A sample that came while the host was late must not count: the host's own lack of processor
// would be attributed to the target.
func TestSamplesOfALateHostAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 1)
		targets := members(1, 8)
		h.addTargets(targets)
		s := h.services[h.names[0]]
		s.lateness.recent.Store(int64(80 * time.Millisecond))
		h.send(t, h.names[0], targets, map[string]float64{"target-0": 10})
		is.Equal(len(s.learners), 0)
		time.Sleep(5 * time.Second) // the timers are in time again
		h.send(t, h.names[0], targets, map[string]float64{"target-0": 100})
		is.Equal(len(s.learners), 1)
	})
}

// A target that refuses requests below its slots must have a lower limit, with one log line and
// gauges.
func TestRefusalsLowerTheLearnedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		h := newHosts(t, 1)
		targets := members(1, 8)
		h.addTargets(targets)
		s := h.services[h.names[0]]
		s.log = funcr.New(func(_, args string) { lines.WriteString(args + "\n") }, funcr.Options{})
		defer func() { s.log = logr.Discard() }()
		scope := tally.NewTestScope("", nil)
		s.metrics.scope = scope
		for range 20 {
			h.send(t, h.names[0], targets, map[string]float64{"target-0": 80})
		}
		p := s.Place(t.Context(), request(targets))
		refused := s.Place(t.Context(), request(targets))
		refused.Observe(targetload.Sample{IsRefused: true})
		refused.Finish(occupancy.Inconclusive)
		p.Finish(occupancy.Answered)
		is.Equal(strings.Count(lines.String(), "Learned limit of a target changed."), 1)
		time.Sleep(sweepInterval)
		s.mu.Lock()
		defer s.mu.Unlock()
		gauges := scope.Snapshot().Gauges()
		is.Equal(gauges["learned_limit+target=target-0"].Value(), 1.0)
		is.Equal(len(gauges), 3)
	})
}
