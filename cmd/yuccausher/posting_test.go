package main_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/standin"
)

// hangMS is how long a posting stays in flight before it runs.
const hangMS = 1000

// postingInFlight opens a program, makes a posting that stays in flight at its
// target for hangMS, and meanwhile calls injectFault with the program's owner. It
// returns after the caller has its answer and the posting has run.
func (f *fleet) postingInFlight(injectFault func(owner int)) *program {
	f.t.Helper()
	is := is.New(f.t)
	p := f.open(f.t.Name(), 0)
	is.True(p != nil)
	owner := f.awaitOwner(p.id, 0)
	once, long := 1, int64(hangMS)
	f.inject(standin.FaultRequest{
		Kind: standin.FaultServiceHang, Service: standin.ServiceLedger, Count: &once, DurationMS: &long,
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.post(owner)
	}()
	f.until("a posting in flight", func() bool { return f.running(standin.ServiceLedger) == 1 })
	injectFault(owner)
	<-answered
	f.until("the posting's run", func() bool { return f.running(standin.ServiceLedger) == 0 })
	return p
}

// running returns how many calls run at the targets of a service.
func (f *fleet) running(service string) int {
	f.t.Helper()
	var states map[string]standin.TargetState
	f.get(f.control+standin.PathTargets, &states)
	total := 0
	for name, state := range states {
		if strings.HasPrefix(name, service) {
			total += state.Running
		}
	}
	return total
}

func TestPostingInFlightWhenItsOwnerIsKilledRunsOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	var left []int
	p := f.postingInFlight(func(owner int) {
		f.hosts[owner].kill()
		left = others(owner)
	})
	p.ask(left[0])
	p.post(left[1])
	f.checkAll([]*program{p}, left)
	is.Equal(f.runs(standin.ServiceLedger)[p.name+"-1"], 1)
}

func TestPostingInFlightWhileItsOwnerIsFrozenRunsOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	var frozen int
	p := f.postingInFlight(func(owner int) {
		frozen = owner
		f.hosts[owner].freeze(t)
	})
	p.ask(others(frozen)[0])
	f.hosts[frozen].thaw(t)
	p.post(frozen)
	f.checkAll([]*program{p}, []int{0, 1, 2})
	is.Equal(f.runs(standin.ServiceLedger)[p.name+"-1"], 1)
}

func TestPostingWhoseAnswerIsLostRunsOnce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	p := f.open(t.Name(), 0)
	is.True(p != nil)
	f.inject(standin.FaultRequest{Kind: standin.FaultServiceLostAnswer, Service: standin.ServiceLedger})
	p.post(0)
	p.post(1)
	f.checkAll([]*program{p}, []int{0, 1, 2})
	is.Equal(f.runs(standin.ServiceLedger)[p.name+"-1"], 1)
}
