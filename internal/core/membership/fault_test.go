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

// newSettledNetwork returns a network of n hosts that has converged.
func newSettledNetwork(t *testing.T, n int) (*network, *is.I) {
	is := is.New(t)
	net := newNetwork(n, 7)
	_, ok := net.settle(60 * time.Second)
	is.True(ok)
	return net, is
}

func TestOneWayCuts(t *testing.T) {
	net, is := newSettledNetwork(t, 12)
	a, b := net.order[0], net.order[1]

	net.isCut = func(from, to *node) bool { return from == a && to == b }
	net.run(time.Minute)
	is.Equal(net.deaths(), int64(0)) // other hosts still have contact with both

	net.isCut = func(_, to *node) bool { return to == a }
	net.run(time.Minute)
	is.Equal(net.deaths(), int64(0)) // an isolated host declares no deaths
	is.Equal(net.countSeeingLive(a.id), 12)

	net.isCut = func(from, _ *node) bool { return from == a }
	begin := net.now
	net.runUntil(20*time.Second, func() bool { return net.countSeeingLive(a.id) == 1 })
	t.Logf("a host whose messages are lost is dead for all others after %v", net.now.Sub(begin))
	is.True(net.now.Sub(begin) < detectionLimit)
	is.Equal(a.core.Stats().Deaths, int64(0))
	net.run(time.Minute)

	net.isCut = nil
	took, ok := net.settle(10 * time.Second)
	t.Logf("converged again after %v", took)
	is.True(ok)
}

func TestRestartUnderSameAddress(t *testing.T) {
	net, is := newSettledNetwork(t, 12)
	for range 5 {
		victim := net.order[3]
		victim.dead = true
		net.run(100 * time.Millisecond)
		victim.start()
		net.run(time.Second)
		for _, nd := range net.order {
			is.Equal(nd.stateOf(victim.id), port.MemberAlive)
			is.Equal(nd.incarnationOf(victim.id), victim.incarnation)
		}
	}
	net.run(10 * time.Second)
	is.Equal(net.deaths(), int64(0))
	is.True(net.converged())
}

func TestLateMessageOfOldIncarnationIsIgnored(t *testing.T) {
	net, is := newSettledNetwork(t, 3)
	victim, other := net.order[0], net.order[1]
	late := victim.core.Request(net.now)
	victim.start()
	net.run(time.Second)
	reply := other.core.Handle(net.now, late)
	is.Equal(other.core.Stats().StaleContacts, int64(1))
	is.Equal(other.incarnationOf(victim.id), victim.incarnation)
	isIncluded := slices.ContainsFunc(reply.Rumours, func(m port.Member) bool {
		return m.ID == victim.id && m.Incarnation > late.From.Incarnation
	})
	is.True(isIncluded) // the old process is notified of the new one
}

func TestDataCentrePartitionAndRejoin(t *testing.T) {
	net, is := newSettledNetwork(t, 102)
	minority := func(nd *node) bool { return nd.dataCentre == "dc-0" }
	net.isCut = func(from, to *node) bool { return minority(from) != minority(to) }
	begin := net.now
	majority := func(nd *node) bool { return !minority(nd) }
	net.runUntil(20*time.Second, func() bool { return net.countSeeingLiveAcross(majority) == 0 })
	t.Logf("17 of 102 hosts dead for the others after %v", net.now.Sub(begin))
	is.True(net.now.Sub(begin) < detectionLimit)
	net.runUntil(20*time.Second, func() bool { return net.countSeeingLiveAcross(minority) == 0 })
	t.Logf("85 of 102 hosts dead for the 17 after %v", net.now.Sub(begin))
	is.Equal(net.countSeeingLiveAcross(minority), 0)
	net.run(11 * time.Minute) // longer than ForgetAfter
	for _, nd := range net.order {
		nd.readHostList()
	}
	net.isCut = nil
	took, ok := net.settle(20 * time.Second)
	t.Logf("converged again after %v", took)
	is.True(ok)
}

func TestFlappingHostDoesNotAffectOthers(t *testing.T) {
	net, is := newSettledNetwork(t, 12)
	victim := net.order[5]
	flaps := false
	net.isCut = func(from, to *node) bool { return flaps && (from == victim || to == victim) }
	for range 15 {
		flaps = !flaps
		net.run(4 * time.Second)
		for _, nd := range net.order {
			is.True(nd == victim || net.countSeeingLive(nd.id) >= 11)
		}
	}
	flaps = false
	_, ok := net.settle(10 * time.Second)
	is.True(ok)
	perSecond, _ := traffic(net, 10*time.Second)
	is.True(perSecond < bytesLimit)
}

func TestLeavingIsKnownWithinASecond(t *testing.T) {
	net, is := newSettledNetwork(t, 50)
	leaver := net.order[9]
	leaver.core.Leave(net.now)
	leaver.schedule()
	net.run(time.Second)
	for _, nd := range net.order {
		is.Equal(nd.stateOf(leaver.id), port.MemberLeaving)
	}
	leaver.dead = true
	net.run(detectionLimit)
	is.Equal(net.countSeeingLive(leaver.id), 0)
}

func TestDeadHostIsRemoved(t *testing.T) {
	net, is := newSettledNetwork(t, 12)
	net.order[4].dead = true
	net.run(11 * time.Minute)
	for _, nd := range net.live() {
		is.Equal(nd.stateOf(net.order[4].id), port.MemberState(""))
	}
}

// TestSeedIsCombinedWithHostID verifies that hosts with the same seed make
// different choices. Otherwise all would push an update to the same few hosts.
func TestSeedIsCombinedWithHostID(t *testing.T) {
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

// TestConvergenceAfterFaults verifies that all hosts agree after random faults of
// hosts and network are over, and that no host ever sees an incarnation decrease.
func TestConvergenceAfterFaults(t *testing.T) {
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
				net.isCut = func(from, to *node) bool { return from == nd }
			case 4:
				net.isCut = func(from, to *node) bool { return (from.id < nd.id) != (to.id < nd.id) }
			case 5:
				net.loss = 0.3
			}
			net.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
			net.checkIncarnations(t, seen)
		}
		net.isCut, net.loss = nil, 0
		for _, nd := range net.order {
			nd.pausedUntil = net.now
			if nd.dead {
				nd.start()
			}
		}
		if _, ok := net.settle(30 * time.Second); !ok {
			t.Fatal("hosts have not converged 30 s after the faults were over")
		}
		net.checkIncarnations(t, seen)
	})
}

func (n *network) checkIncarnations(t *rapid.T, seen map[[2]string]uint64) {
	for _, nd := range n.order {
		for _, m := range nd.table {
			key := [2]string{nd.core.Self().ID + "/" + time.Duration(nd.incarnation).String(), m.ID}
			if m.Incarnation < seen[key] {
				t.Fatal("an incarnation decreased")
			}
			seen[key] = m.Incarnation
		}
	}
}

// countSeeingLiveAcross counts the table entries of nodes on one side that show a
// host on the other side as not dead.
func (n *network) countSeeingLiveAcross(side func(*node) bool) int {
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

// incarnationOf returns the incarnation of a host in the node's table, counted
// from 1 for its first start, or 0 if the host is unknown.
func (nd *node) incarnationOf(id string) uint64 {
	for _, m := range nd.table {
		if m.ID == id {
			return m.Incarnation - uint64(epoch.UnixNano())
		}
	}
	return 0
}
