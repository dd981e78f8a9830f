package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func member(id string) Member {
	return Member{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "here", Slots: 8}
}

func newFleet(n int) *Fleet {
	f := New("here", 1)
	for i := range n {
		f.Put(member(fmt.Sprintf("t%d", i)))
	}
	return f
}

func TestPutReturnsChange(t *testing.T) {
	is := is.New(t)
	f := New("here", 1)
	m := member("a")
	is.Equal(f.Put(m), Joined)
	is.Equal(f.Put(m), Unchanged)
	m.Leaving = true
	is.Equal(f.Put(m), Leaving)
	is.Equal(f.Choose(Request{Service: "s"}, start), nil)
	m.Leaving, m.StartedAt = false, 5
	is.Equal(f.Put(m), Restarted)
	is.True(f.Choose(Request{Service: "s"}, start) != nil)
	is.Equal(f.Remove("a"), Removed)
	is.Equal(f.Remove("a"), Unchanged)
}

func TestLapsedTargetsStayUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	until := start.Add(time.Second)
	is.Equal(f.MarkLapsed("t0", until), Lapsed)
	is.Equal(f.MarkLapsed("t1", until), Lapsed)
	is.Equal(f.Count("s"), 2)
	is.True(f.Choose(Request{Service: "s", Exclude: []string{"t0"}}, start) != nil)
	is.Equal(len(f.Expire(start)), 0)
	is.Equal(f.Put(member("t0")), Returned)
	// From that time on the target gets no requests, even before Expire removes it.
	is.Equal(f.Choose(Request{Service: "s", Exclude: []string{"t0"}}, until), nil)
	is.Equal(f.Expire(until), []string{"t1"})
	is.Equal(f.IDs(), []string{"t0"})
}

func TestTargetThatChangesServiceLeavesOldService(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	m := member("t0")
	m.Service = "other"
	is.Equal(f.Put(m), Restarted)
	is.Equal(f.Choose(Request{Service: "s"}, start), nil)
}

func TestExcludedTargetsAreNotChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 20 {
		is.Equal(f.Choose(Request{Service: "s", Exclude: []string{"t0"}}, start).ID, "t1")
	}
	is.Equal(f.Choose(Request{Service: "s", Exclude: []string{"t0", "t1"}}, start), nil)
}

// Hosts with the same targets must send a program to the same target.
func TestAffinityIsTheSameOnAllHosts(t *testing.T) {
	is := is.New(t)
	programs := map[string]int{}
	for i := range 90 {
		r := Request{Service: "s", Affinity: fmt.Sprint("program", i)}
		a := New("here", 1)
		b := New("there", 2)
		for j := range 9 {
			a.Put(member(fmt.Sprintf("t%d", j)))
			b.Put(member(fmt.Sprintf("t%d", 8-j)))
		}
		chosen := a.Choose(r, start).ID
		is.Equal(chosen, b.Choose(r, start).ID)
		programs[chosen]++
	}
	is.Equal(len(programs), 9)
}

// A target that has become ten times slower must lose its programs, and must get
// them back once its high latency is out of date.
func TestSlowTargetIsAvoidedAndUsedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	r := Request{Service: "s", Affinity: "program"}
	preferred := f.Choose(r, start)
	now := start
	answer := func(c *Choice, first time.Duration) {
		now = now.Add(10 * time.Millisecond)
		c.End(now, Answered, first)
	}
	answer(preferred, 40*time.Millisecond)
	for i := range 40 {
		for _, id := range f.IDs() {
			if id != preferred.ID {
				others := Request{Service: "s", Exclude: []string{preferred.ID}, Affinity: fmt.Sprint(i, id)}
				answer(f.Choose(others, now), 40*time.Millisecond)
			}
		}
		c := f.Choose(r, now)
		first := 40 * time.Millisecond
		if c.ID == preferred.ID {
			first = 400 * time.Millisecond
		}
		answer(c, first)
	}
	moved := 0
	for range 20 {
		c := f.Choose(r, now)
		if c.ID != preferred.ID {
			moved++
		}
		first := 40 * time.Millisecond
		if c.ID == preferred.ID {
			first = 400 * time.Millisecond
		}
		answer(c, first)
	}
	is.True(moved >= 15)
	now = now.Add(time.Minute)
	is.Equal(f.Choose(r, now).ID, preferred.ID)
}

func TestUnreachableTargetIsPaused(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	c := f.Choose(Request{Service: "s", Exclude: []string{"t1"}}, start)
	c.End(start, Unreachable, 0)
	for range 10 {
		c := f.Choose(Request{Service: "s"}, start.Add(10*time.Millisecond))
		is.Equal(c.ID, "t1")
		c.End(start, Answered, time.Millisecond)
	}
	seen := map[string]bool{}
	for range 40 {
		c := f.Choose(Request{Service: "s"}, start.Add(time.Second))
		seen[c.ID] = true
	}
	is.Equal(len(seen), 2)
}

func TestPausedTargetsAreChosenIfThereAreNoOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.Choose(Request{Service: "s"}, start).End(start, Unreachable, 0)
	is.True(f.Choose(Request{Service: "s"}, start) != nil)
}

func TestFullTargetsAreAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	c := f.Choose(Request{Service: "s"}, start)
	full := c.ID
	c.End(start, Full, 0)
	for range 20 {
		is.True(f.Choose(Request{Service: "s"}, start.Add(time.Millisecond)).ID != full)
	}
}

func TestRequestsWithoutAffinityAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	counts := map[string]int{}
	for range 20 {
		counts[f.Choose(Request{Service: "s"}, start).ID]++
	}
	for _, n := range counts {
		is.Equal(n, 4)
	}
}

func TestTargetsOfOwnDataCentreArePreferred(t *testing.T) {
	is := is.New(t)
	f := New("here", 1)
	far := member("far")
	far.DataCentre = "there"
	f.Put(far)
	f.Put(member("near"))
	for range 10 {
		c := f.Choose(Request{Service: "s"}, start)
		is.Equal(c.ID, "near")
		c.End(start, Answered, 0)
	}
}

// observeAll has each target answer 40 requests with the given time to first byte.
func (f *Fleet) observeAll(first func(Member) time.Duration) {
	for _, m := range f.Members() {
		others := slices.DeleteFunc(f.IDs(), func(id string) bool { return id == m.ID })
		for range 40 {
			f.Choose(Request{Service: "s", Exclude: others}, start).End(start, Answered, first(m))
		}
	}
}

// Programs must not move to other data centres while the targets of their own are
// idle. Most programs arrive at hosts of one data centre; when these hosts kept
// connections to all targets of four data centres, each opened 112 connections in
// the quiet-1 run of the enlarged rounds site, where connections are expensive.
func TestProgramsStayInOwnDataCentreWhileItIsIdle(t *testing.T) {
	is := is.New(t)
	f := New("here", 1)
	for i := range 12 {
		m := member(fmt.Sprintf("t%d", i))
		if i >= 3 {
			m.DataCentre = "there"
		}
		f.Put(m)
	}
	f.observeAll(func(m Member) time.Duration {
		if m.DataCentre == "here" {
			return 40 * time.Millisecond
		}
		return 20 * time.Millisecond
	})
	for i := range 60 {
		c := f.Choose(Request{Service: "s", Affinity: fmt.Sprint("program", i)}, start)
		is.Equal(c.DataCentre, "here")
		c.Received(start.Add(40 * time.Millisecond))
		c.End(start.Add(40*time.Millisecond), Answered, 40*time.Millisecond)
	}
}

// If a program's target in the host's own data centre is slow, hosts of different
// data centres must send the program to the same target, so that it finds its
// cached prefix there.
func TestProgramsShareATargetWhenOwnDataCentreIsSlow(t *testing.T) {
	is := is.New(t)
	hosts := []*Fleet{New("here", 1), New("there", 2)}
	for _, f := range hosts {
		for i := range 12 {
			m := member(fmt.Sprintf("t%d", i))
			m.DataCentre = []string{"here", "there", "beyond"}[i%3]
			f.Put(m)
		}
		f.observeAll(func(m Member) time.Duration {
			if m.DataCentre == f.dataCentre {
				return time.Second
			}
			return 40 * time.Millisecond
		})
	}
	same := 0
	for i := range 60 {
		r := Request{Service: "s", Affinity: fmt.Sprint("program", i)}
		if hosts[0].Choose(r, start).ID == hosts[1].Choose(r, start).ID {
			same++
		}
	}
	// Four of the twelve targets are slow to each host, and so are a third of the
	// preferred targets.
	is.True(same >= 20)
}

func TestSilenceIsCountedFromLastContact(t *testing.T) {
	is := is.New(t)
	f := New("here", 1)
	now := time.Now()
	f.Put(Member{ID: "a", Service: "s", Address: "a:1", DataCentre: "here", Slots: 8})
	first, second := f.Choose(Request{Service: "s"}, now), f.Choose(Request{Service: "s"}, now.Add(time.Second))
	is.Equal(first.SilentFor(now.Add(2*time.Second)), 2*time.Second)
	is.Equal(second.SilentFor(now.Add(2*time.Second)), time.Second)
	second.Received(now.Add(3 * time.Second))
	is.Equal(first.SilentFor(now.Add(4*time.Second)), time.Second)
	second.End(now.Add(5*time.Second), Abandoned, 0)
	is.Equal(first.SilentFor(now.Add(6*time.Second)), 3*time.Second)
	first.End(now.Add(7*time.Second), Full, 0)
	is.Equal(first.SilentFor(now.Add(8*time.Second)), time.Second)
}

// Turns of one program arrive at hosts of several data centres. A long prompt is cheaper
// to send to the target that has cached it than to read again nearby; a short one is not.
func TestLongPromptsStayAtOneTarget(t *testing.T) {
	is := is.New(t)
	var fleets []*Fleet
	centres := []string{"a", "b", "c", "d"}
	for i, centre := range centres {
		f := New(centre, uint64(i))
		for j := range 12 {
			f.Put(Member{ID: fmt.Sprint("t", j), Service: "m", DataCentre: centres[j%4], Slots: 8})
		}
		fleets = append(fleets, f)
	}
	moved := func(promptTokens int64) int {
		n := 0
		for p := range 100 {
			chosen := make(map[string]bool)
			for _, f := range fleets {
				r := Request{Service: "m", Affinity: fmt.Sprint("p", p), PromptTokens: promptTokens}
				chosen[f.Candidates(r, 4, time.Unix(1000, 0))[0].ID] = true
			}
			if len(chosen) > 1 {
				n++
			}
		}
		return n
	}
	is.Equal(moved(14_000), 0)
	is.True(moved(1_000) > 80)
}
