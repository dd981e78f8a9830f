package main_test

import (
	"os/exec"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

const (
	workPrograms = 12
	workTurns    = 8
	// workUnderWay is the number of postings that have run when a fault is
	// injected.
	workUnderWay = 8
)

// during runs the work, and injects a fault once part of it has run.
func (f *fleet) during(hosts []int, fault func()) []*program {
	f.t.Helper()
	done := make(chan []*program)
	go func() { done <- f.work(workPrograms, workTurns, hosts) }()
	f.until("work under way", func() bool { return len(f.runs(standin.ServiceLedger)) >= workUnderWay })
	fault()
	return <-done
}

func TestProgramSurvivesAKilledAndAFrozenHost(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	p := f.open("survivor", 0)
	p.ask(0)
	p.post(1)
	killed := f.awaitOwner(p.id, 0)
	f.hosts[killed].kill()
	p.ask(killed)
	p.post(killed)
	left := others(killed)
	frozen := f.owner(p.id, left[0])
	is.True(frozen >= 0 && frozen != killed) // another host owns it
	f.hosts[frozen].freeze(t)
	last := 3 - killed - frozen
	p.post(last)
	p.ask(last)
	f.hosts[frozen].thaw(t)
	p.post(frozen)
	f.checkAll([]*program{p}, []int{last, frozen})
	is.NoErr(f.caller.At(last).End(f.ctx, p.id))
	view, err := f.caller.At(frozen).Program(f.ctx, p.id)
	is.NoErr(err)
	is.Equal(view.NextSeq, int64(8))
	f.until("eviction", func() bool { return !f.isHeld(p.id) })
}

// isHeld reports whether a target holds KV cache of a program.
func (f *fleet) isHeld(programID string) bool {
	var states map[string]standin.TargetState
	if !f.get(f.control+standin.PathTargets, &states) {
		return true
	}
	for _, state := range states {
		for _, held := range state.KVPrograms {
			if held == programID {
				return true
			}
		}
	}
	return false
}

func TestWorkSurvivesAKilledHost(t *testing.T) {
	f := startFleet(t)
	programs := f.during([]int{0, 1, 2}, f.hosts[1].kill)
	f.checkAll(programs, []int{0, 2})
}

func TestWorkSurvivesAFrozenHostThatResumes(t *testing.T) {
	f := startFleet(t)
	frozen := f.hosts[1]
	programs := f.during([]int{0, 1, 2}, func() {
		frozen.freeze(t)
		f.until("takeover", func() bool { return !f.ownsAny(1, 0) && !f.ownsAny(1, 2) })
		frozen.thaw(t)
	})
	f.checkAll(programs, []int{0, 1, 2})
}

// While no host can reach another, each must rely on the log alone.
func TestWorkSurvivesHostsDisconnectedFromEachOther(t *testing.T) {
	f := startFleet(t)
	programs := f.during([]int{0, 1, 2}, func() {
		for _, h := range f.hosts {
			h.peers.cut()
		}
		for i := range f.hosts {
			f.until("a host that is alone", func() bool { return f.isAlone(i) })
		}
		for _, h := range f.hosts {
			h.peers.heal()
		}
	})
	f.checkAll(programs, []int{0, 1, 2})
}

// isAlone reports whether a host considers none of the others alive.
func (f *fleet) isAlone(host int) bool {
	var answer struct {
		Hosts []struct {
			ID    string           `json:"id"`
			State port.MemberState `json:"state"`
		} `json:"hosts"`
	}
	if !f.get(f.hosts[host].base+"/v1/hosts", &answer) {
		return false
	}
	for _, h := range answer.Hosts {
		if h.ID != f.hosts[host].id && h.State == port.MemberAlive {
			return false
		}
	}
	return true
}

func TestWorkSurvivesAHostThatOthersCannotReach(t *testing.T) {
	f := startFleet(t)
	cut := f.hosts[1]
	programs := f.during([]int{0, 1, 2}, func() {
		cut.peers.cut()
		f.untilMoreAppends()
		cut.peers.heal()
	})
	f.checkAll(programs, []int{0, 1, 2})
}

func TestWorkSurvivesAHostDisconnectedFromTheLog(t *testing.T) {
	f := startFleet(t)
	cut := f.hosts[1]
	programs := f.during([]int{0, 1, 2}, func() {
		cut.logs.cut()
		f.untilMoreAppends()
		cut.logs.heal()
	})
	f.checkAll(programs, []int{0, 1, 2})
}

const (
	// moreAppends is the number of appends to wait for while a connection is
	// interrupted. restLooks is the number of consecutive polls without an append
	// after which all work is taken to be waiting for the connection.
	moreAppends = 10
	restLooks   = 40
)

// untilMoreAppends waits for moreAppends further appends, or until there have
// been none for restLooks polls.
func (f *fleet) untilMoreAppends() {
	f.t.Helper()
	before := f.appends()
	last, rest := before, 0
	f.until("more appends", func() bool {
		now := f.appends()
		rest++
		if now != last {
			last, rest = now, 0
		}
		return now >= before+moreAppends || rest >= restLooks
	})
}

func (f *fleet) appends() int64 {
	var counts standin.LogCounts
	f.get(f.control+standin.PathLog, &counts)
	return counts.Appends
}

func TestWorkSurvivesALogOutage(t *testing.T) {
	f := startFleet(t)
	long := int64(3000)
	programs := f.during([]int{0, 1, 2}, func() {
		f.inject(standin.FaultRequest{Kind: standin.FaultLogDown, DurationMS: &long})
	})
	f.checkAll(programs, []int{0, 1, 2})
}

func TestWorkSurvivesLostAnswersOfTheLog(t *testing.T) {
	f := startFleet(t)
	lost := 20
	programs := f.during([]int{0, 1, 2}, func() {
		f.inject(standin.FaultRequest{Kind: standin.FaultLogLostAck, Count: &lost})
	})
	f.checkAll(programs, []int{0, 1, 2})
}

// ownsAny reports whether one host sees another as the owner of a partition, or
// does not answer.
func (f *fleet) ownsAny(host, seenBy int) bool {
	f.t.Helper()
	owners, ok := f.owners(seenBy)
	return !ok || owners[f.hosts[host].id]
}

func TestDemoPasses(t *testing.T) {
	is := is.New(t)
	text, err := exec.CommandContext(t.Context(), binary, "demo").CombinedOutput()
	if err != nil {
		t.Logf("%s", text)
	}
	is.NoErr(err)
}
