package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	_ "yuccausher/internal/testutil"
)

const (
	detectionLimit = 3 * time.Second
	pauseLength    = 2 * time.Second
	// joinLimit is the maximum time until a new host knows all others.
	joinLimit = 5 * time.Second
	// bytesLimit is the limit of a host's control traffic, in bytes per second.
	bytesLimit = 8000
)

func TestHostsFindEachOtherFromList(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			net := newNetwork(n, 1)
			took, ok := net.settle(30 * time.Second)
			t.Logf("%d hosts agree after %v", n, took)
			is.New(t).True(ok)
		})
	}
}

// TestDetection verifies the limits for false deaths under message loss and
// pauses, for the time to detect a killed host, and for the traffic per host.
func TestDetection(t *testing.T) {
	for _, n := range []int{12, 50, 100, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			net := newNetwork(n, uint64(n))
			started, ok := net.settle(60 * time.Second)
			is.True(ok)
			net.loss = 0.05
			falseDeaths, paused := injectPauses(net, pauseTime(n))
			first, last, joined := injectKills(net, 5)
			net.run(10 * time.Second)
			perSecond, messages := traffic(net, 20*time.Second)
			t.Logf("%d hosts: all started in %v, false deaths %d of %d pauses, detection first %v last %v, one joined in %v, %d B/s and %d messages/s sent per host",
				n, started, falseDeaths, paused, first, last, joined, perSecond, messages)
			is.Equal(falseDeaths, int64(0))
			is.True(first < detectionLimit)
			is.True(last < detectionLimit)
			is.True(joined < joinLimit)
			is.True(perSecond < bytesLimit)
		})
	}
}

// pauseTime returns how long pauses are injected. Small networks are simulated for
// longer, because they are cheap.
func pauseTime(n int) time.Duration {
	if n > 100 {
		return 30 * time.Second
	}
	return 1000 * time.Minute / time.Duration(n)
}

// injectPauses pauses random hosts, several at once, for a total time of d. It
// returns how many deaths were declared and how many pauses were injected.
func injectPauses(net *network, d time.Duration) (deaths int64, paused int) {
	before := net.deaths()
	for end := net.now.Add(d); net.now.Before(end); {
		for range max(1, len(net.order)/50) {
			net.order[net.random.IntN(len(net.order))].pause(pauseLength)
			paused++
		}
		net.run(pauseLength + time.Duration(net.random.Int64N(int64(time.Second))))
	}
	net.run(5 * time.Second)
	return net.deaths() - before, paused
}

// injectKills kills and restarts random hosts one after the other. It returns the
// maximum times until the first and until the last host detected a death, and
// until a restarted host knew all others.
func injectKills(net *network, count int) (first, last, joined time.Duration) {
	for range count {
		net.run(time.Duration(net.random.Int64N(int64(time.Second))))
		victim := net.order[net.random.IntN(len(net.order))]
		victim.dead = true
		begin := net.now
		seeingLive := net.countSeeingLive(victim.id)
		net.runUntil(10*time.Second, func() bool { return net.countSeeingLive(victim.id) < seeingLive })
		first = max(first, net.now.Sub(begin))
		net.runUntil(10*time.Second, func() bool { return net.countSeeingLive(victim.id) == 0 })
		last = max(last, net.now.Sub(begin))
		victim.start()
		begin = net.now
		net.runUntil(10*time.Second, func() bool { return len(victim.table) == len(net.order) })
		joined = max(joined, net.now.Sub(begin))
	}
	return first, last, joined
}

// traffic runs the network for d and returns the bytes and messages that a host
// sends per second on average.
func traffic(net *network, d time.Duration) (bytes, messages int) {
	bytesBefore, sentBefore := net.bytes, net.sent
	net.run(d)
	hosts := len(net.order) * int(d/time.Second)
	return (net.bytes - bytesBefore) / hosts, (net.sent - sentBefore) / hosts
}
