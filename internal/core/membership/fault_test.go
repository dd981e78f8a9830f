package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/membership"
	"yuccausher/internal/port"
)

// settled returns a network whose hosts know each other.
func settled(t *testing.T, n int) (*network, *is.I) {
	is := is.New(t)
	net := newNetwork(n, 7)
	_, ok := net.settle(60 * time.Second)
	is.True(ok)
	return net, is
}

func TestOneWayCuts(t *testing.T) {
	net, is := settled(t, 12)
	a, b := net.order[0], net.order[1]

	net.cut = func(from, to *node) bool { return from == a && to == b }
	net.run(time.Minute)
	is.Equal(net.deaths(), int64(0)) // others hear both

	net.cut = func(_, to *node) bool { return to == a }
	net.run(time.Minute)
	is.Equal(net.deaths(), int64(0)) // a host that hears nobody blames nobody
	is.Equal(net.believers(a.id), 12)

	net.cut = func(from, _ *node) bool { return from == a }
	begin := net.now
	net.until(20*time.Second, func() bool { return net.believers(a.id) == 1 })
	t.Logf("a host that nobody hears is out after %v", net.now.Sub(begin))
	is.True(net.now.Sub(begin) < detectionLimit)
	is.Equal(a.core.Stats().Deaths, int64(0))
	net.run(time.Minute)

	net.cut = nil
	took, ok := net.settle(10 * time.Second)
	t.Logf("back after %v", took)
	is.True(ok)
}

func TestRestartUnderSameAddress(t *testing.T) {
	net, is := settled(t, 12)
	for range 5 {
		victim := net.order[3]
		victim.dead = true
		net.run(100 * time.Millisecond)
		victim.start()
		net.run(time.Second)
		for _, nd := range net.order {
			is.Equal(nd.sees(victim.id), port.MemberAlive)
			is.Equal(nd.incarnationOf(victim.id), victim.incarnation)
		}
	}
	net.run(10 * time.Second)
	is.Equal(net.deaths(), int64(0))
	is.True(net.agree())
}

func TestLateMessageOfOldIncarnationIsIgnored(t *testing.T) {
	net, is := settled(t, 3)
	victim, other := net.order[0], net.order[1]
	late := victim.core.Request(net.now)
	victim.start()
	net.run(time.Second)
	reply := other.core.Handle(net.now, late)
	is.Equal(other.core.Stats().StaleContacts, int64(1))
	is.Equal(other.incarnationOf(victim.id), victim.incarnation)
	isTold := slices.ContainsFunc(reply.Rumours, func(m port.Member) bool {
		return m.ID == victim.id && m.Incarnation > late.From.Incarnation
	})
	is.True(isTold) // the old process learns of the new one
}

func TestDataCentreAwayAndBack(t *testing.T) {
	net, is := settled(t, 102)
	away := func(nd *node) bool { return nd.dataCentre == "dc-0" }
	net.cut = func(from, to *node) bool { return away(from) != away(to) }
	begin := net.now
	here := func(nd *node) bool { return !away(nd) }
	net.until(20*time.Second, func() bool { return net.crossBelievers(here) == 0 })
	t.Logf("17 of 102 hosts given up by the others after %v", net.now.Sub(begin))
	is.True(net.now.Sub(begin) < detectionLimit)
	net.until(20*time.Second, func() bool { return net.crossBelievers(away) == 0 })
	t.Logf("85 of 102 hosts given up by the 17 after %v", net.now.Sub(begin))
	is.Equal(net.crossBelievers(away), 0)
	net.run(11 * time.Minute) // longer than dead hosts are remembered
	for _, nd := range net.order {
		nd.hint()
	}
	net.cut = nil
	took, ok := net.settle(20 * time.Second)
	t.Logf("all together again after %v", took)
	is.True(ok)
}

func TestFlappingHostDoesNotInfectOthers(t *testing.T) {
	net, is := settled(t, 12)
	victim := net.order[5]
	flaps := false
	net.cut = func(from, to *node) bool { return flaps && (from == victim || to == victim) }
	for range 15 {
		flaps = !flaps
		net.run(4 * time.Second)
		for _, nd := range net.order {
			is.True(nd == victim || net.believers(nd.id) >= 11)
		}
	}
	flaps = false
	_, ok := net.settle(10 * time.Second)
	is.True(ok)
	perSecond, _ := traffic(net, 10*time.Second)
	is.True(perSecond < bytesLimit)
}

func TestLeavingIsKnownWithinASecond(t *testing.T) {
	net, is := settled(t, 50)
	leaver := net.order[9]
	leaver.core.Leave(net.now)
	leaver.schedule()
	net.run(time.Second)
	for _, nd := range net.order {
		is.Equal(nd.sees(leaver.id), port.MemberLeaving)
	}
	leaver.dead = true
	net.run(detectionLimit)
	is.Equal(net.believers(leaver.id), 0)
}

func TestDeadHostIsForgotten(t *testing.T) {
	net, is := settled(t, 12)
	net.order[4].dead = true
	net.run(11 * time.Minute)
	for _, nd := range net.live() {
		is.Equal(nd.sees(net.order[4].id), port.MemberState(""))
	}
}

// TestSeedIsMixedWithTheHost expects hosts that were given one seed to make
// different choices, or else all push a rumour to the same few.
func TestSeedIsMixedWithTheHost(t *testing.T) {
	is := is.New(t)
	due := make(map[time.Time]bool)
	for i := range 20 {
		self := port.Host{ID: fmt.Sprintf("10.0.0.%d:7100", i), Incarnation: 1}
		core := membership.New(self, membership.Defaults(), 1, epoch)
		core.Tick(epoch)
		due[core.Due()] = true
	}
	is.True(len(due) > 2)
}

// TestHealing breaks the network in random ways, mends it, and expects all
// hosts to agree. No host may ever see an incarnation go down.
func TestHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(rapid.IntRange(2, 10).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		seen := make(map[[2]string]uint64)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			nd := net.order[rapid.IntRange(0, len(net.order)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				nd.dead = true
			case 1:
				nd.start()
			case 2:
				nd.pause(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Second)
			case 3:
				net.cut = func(from, to *node) bool { return from == nd }
			case 4:
				net.cut = func(from, to *node) bool { return (from.id < nd.id) != (to.id < nd.id) }
			case 5:
				net.loss = 0.3
			}
			net.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
			net.checkIncarnations(t, seen)
		}
		net.cut, net.loss = nil, 0
		for _, nd := range net.order {
			nd.pausedUntil = net.now
			if nd.dead {
				nd.start()
			}
		}
		if _, ok := net.settle(30 * time.Second); !ok {
			t.Fatal("hosts do not agree after the faults are over")
		}
		net.checkIncarnations(t, seen)
	})
}

func (n *network) checkIncarnations(t *rapid.T, seen map[[2]string]uint64) {
	for _, nd := range n.order {
		for _, m := range nd.table {
			key := [2]string{nd.core.Self().ID + "/" + time.Duration(nd.incarnation).String(), m.ID}
			if m.Incarnation < seen[key] {
				t.Fatal("an incarnation went down")
			}
			seen[key] = m.Incarnation
		}
	}
}

// crossBelievers counts how often hosts on one side take one on the other for
// live.
func (n *network) crossBelievers(side func(*node) bool) int {
	count := 0
	for _, nd := range n.order {
		if !side(nd) {
			continue
		}
		for _, m := range nd.table {
			if m.State != port.MemberDead && !side(n.nodes[m.ID]) {
				count++
			}
		}
	}
	return count
}

// incarnationOf returns which start of a host a node knows, from 1 on.
func (nd *node) incarnationOf(id string) uint64 {
	for _, m := range nd.table {
		if m.ID == id {
			return m.Incarnation - uint64(epoch.UnixNano())
		}
	}
	return 0
}
