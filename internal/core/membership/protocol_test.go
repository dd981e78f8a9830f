package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	_ "yuccausher/internal/testutil"
)

const (
	detectionLimit = 3 * time.Second
	pauseLength    = 2 * time.Second
	// bytesLimit is what all control traffic of a host may use, in bytes a
	// second.
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

// TestDetection measures deaths under loss and pauses, the time in which a
// killed host is found out, and the traffic of a host.
func TestDetection(t *testing.T) {
	for _, n := range []int{12, 50, 100, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(n, uint64(n))
			_, ok := net.settle(60 * time.Second)
			is.True(ok)
			net.loss = 0.05
			falseDeaths := pauses(net, 120*time.Second)
			first, last, missed := kills(net, 10)
			net.run(10 * time.Second)
			perSecond, messages := traffic(net, 20*time.Second)
			t.Logf("%d hosts: false deaths %d, first detection at most %v, last table at most %v, %d B/s and %d messages/s sent per host",
				n, falseDeaths, first, last, perSecond, messages)
			is.Equal(falseDeaths, int64(0))
			is.Equal(missed, 0)
			is.True(first < detectionLimit)
			is.True(last < detectionLimit)
			is.True(perSecond < bytesLimit)
		})
	}
}

// pauses stops random hosts for a while, several at once, and returns how
// many deaths were declared.
func pauses(net *network, d time.Duration) int64 {
	before := net.deaths()
	for end := net.now.Add(d); net.now.Before(end); {
		for range max(1, len(net.order)/50) {
			net.order[net.random.IntN(len(net.order))].pause(pauseLength)
		}
		net.run(pauseLength + time.Duration(net.random.Int64N(int64(time.Second))))
	}
	net.run(5 * time.Second)
	return net.deaths() - before
}

// kills ends random hosts one after the other and starts them again. It
// returns the longest times until the first and the last host knew.
func kills(net *network, count int) (first, last time.Duration, missed int) {
	for range count {
		net.run(time.Duration(net.random.Int64N(int64(time.Second))))
		victim := net.order[net.random.IntN(len(net.order))]
		victim.dead = true
		begin := net.now
		knownFirst := false
		for net.count(victim.id, port.MemberDead) < len(net.live()) && net.now.Sub(begin) < 10*time.Second {
			net.run(10 * time.Millisecond)
			if !knownFirst && net.count(victim.id, port.MemberDead) > 0 {
				knownFirst = true
				first = max(first, net.now.Sub(begin))
			}
		}
		if net.count(victim.id, port.MemberDead) < len(net.live()) {
			missed++
		}
		last = max(last, net.now.Sub(begin))
		victim.start()
		net.settle(10 * time.Second)
	}
	return first, last, missed
}

// traffic returns what a host sends in a second.
func traffic(net *network, d time.Duration) (bytes, messages int) {
	bytesBefore, sentBefore := net.bytes, net.sent
	net.run(d)
	hosts := len(net.order) * int(d/time.Second)
	return (net.bytes - bytesBefore) / hosts, (net.sent - sentBefore) / hosts
}
