package callrate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// store accepts total calls in each second and refuses the others.
type store struct {
	total  int
	second int64
	calls  int
}

func (s *store) accepts(now time.Time) bool {
	if second := now.Unix(); second != s.second {
		s.second, s.calls = second, 0
	}
	s.calls++
	return s.calls <= s.total
}

// run lets hosts with a backlog each call a store for a time. It returns the calls that the store
// got in each second, and those that it accepted.
func run(hosts, total int, duration time.Duration, backlog, demandPerHost float64) (sent, accepted []int) {
	start := time.Unix(1000, 0)
	s := &store{total: total}
	limiters := make([]*Limiter, hosts)
	waiting := make([]float64, hosts)
	for i := range limiters {
		limiters[i] = New(float64(total), start)
		limiters[i].SetHosts(hosts)
		waiting[i] = backlog
	}
	const step = 20 * time.Millisecond
	sent, accepted = make([]int, int(duration/time.Second)), make([]int, int(duration/time.Second))
	for passed := time.Duration(0); passed < duration; passed += step {
		now := start.Add(passed)
		second := int(passed / time.Second)
		for i := range limiters {
			// Hosts take turns at being the first.
			i = (i + int(passed/step)) % hosts
			l := limiters[i]
			waiting[i] += demandPerHost * step.Seconds()
			for waiting[i] >= 1 && l.Take(Urgent, now) == 0 {
				sent[second]++
				if !s.accepts(now) {
					l.Refused(now)
					continue
				}
				l.Answered()
				accepted[second]++
				waiting[i]--
			}
		}
	}
	return sent, accepted
}

// Guards against calls of many hosts that keep a store overloaded: whatever the backlog, calls
// stay near what the store accepts after the first second, most are accepted, and the backlog is
// worked off at any number of hosts.
func TestOverloadDoesNotSustainItself(t *testing.T) {
	sizes := []struct{ hosts, total int }{{12, 800}, {87, 1500}, {87, 6000}, {410, 16000}}
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(sizes).Draw(t, "size")
		backlog := rapid.Float64Range(0, 5000).Draw(t, "backlog")
		demand := rapid.Float64Range(0, 0.7).Draw(t, "demand") * float64(c.total) / float64(c.hosts)
		const seconds = 8
		sent, accepted := run(c.hosts, c.total, seconds*time.Second, backlog, demand)
		for second := 1; second < seconds; second++ {
			if limit := c.total * 3 / 2; sent[second] > limit {
				t.Fatalf("%d hosts sent %d calls in second %d, more than %d", c.hosts, sent[second], second, limit)
			}
			isBusy := backlog*float64(c.hosts) > float64(c.total*seconds)
			if least := c.total * 7 / 10; isBusy && accepted[second] < least {
				t.Fatalf("of %d calls in second %d only %d were accepted", sent[second], second, accepted[second])
			}
		}
	})
}

// Guards against a host that stops calling, or goes on as before, while the store refuses all of
// its calls and serves others.
func TestHostThatIsTurnedAwayKeepsTrying(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(1500, now)
	l.SetHosts(84)
	calls := make([]int, 10)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		if l.Take(Urgent, now) == 0 {
			calls[i/1000]++
			l.Refused(now)
		}
	}
	is.True(calls[9] >= 1 && calls[9] <= 4)
	l.Answered()
	is.True(l.Rate() >= refusedShare*1500/84)
}

// Guards against calls in the background that delay those that a request waits for.
func TestBackgroundCallsLeaveRoomForUrgentOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(1500, now)
	l.SetHosts(84)
	for l.Take(Background, now) == 0 {
	}
	urgent := 0
	for l.Take(Urgent, now) == 0 {
		urgent++
	}
	is.True(urgent >= 2)
}

// Guards against a limit on stores that state none.
func TestUnknownTotalIsNotLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(0, now)
	for range 1000 {
		is.Equal(l.Take(Background, now), time.Duration(0))
	}
	l.Refused(now)
	is.Equal(l.Take(Urgent, now), time.Duration(0))
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(1e12, now)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Take(Urgent, now)
	}
}
