package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Six in ten of 410 hosts lose their paths at once, each with ten requests a second that take half a
// second. From the second on, requests find a host at the first or second try, and the load of
// those hosts differs little.
func TestMostHostsLoseTheirPathsAtOnce(t *testing.T) {
	is := is.New(t)
	const hosts, cutOff, perSecond, seconds = 410, 246, 10, 10
	const duration = 500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	known := make([]string, hosts)
	for i := range known {
		known[i] = fmt.Sprint("h", i)
	}
	isCutOff := make(map[string]bool)
	peers := make([]*Peers, cutOff)
	for i := range peers {
		isCutOff[known[i]] = true
		peers[i] = NewPeers(random.IntN)
	}
	type request struct {
		peers *Peers
		host  string
		end   time.Time
	}
	var running []request
	taken, mostAtOnce := make(map[string]int), make(map[string]int)
	inProgress := make(map[string]int)
	asks, requests := 0, 0
	start := time.Unix(1000, 0)
	for step := range seconds * 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			r.peers.Ended(r.host)
			inProgress[r.host]--
		}
		running = kept
		for i, p := range peers {
			if random.IntN(100) >= perSecond {
				continue
			}
			asked := make(map[string]bool)
			for {
				host, ok := p.Choose(known, func(h string) bool { return asked[h] || h == known[i] }, now)
				if !ok {
					t.Fatal("no host")
				}
				asked[host] = true
				if !isCutOff[host] {
					p.Taken(host)
					running = append(running, request{peers: p, host: host, end: now.Add(duration)})
					inProgress[host]++
					mostAtOnce[host] = max(mostAtOnce[host], inProgress[host])
					if step >= 100 {
						taken[host]++
						asks += len(asked)
						requests++
					}
					break
				}
				p.Declined(host, now)
			}
		}
	}
	is.True(float64(asks)/float64(requests) < 1.3)
	most, atOnce := 0, 0
	for host, n := range taken {
		most, atOnce = max(most, n), max(atOnce, mostAtOnce[host])
	}
	mean := float64(requests) / float64(hosts-cutOff)
	is.Equal(len(taken), hosts-cutOff)
	is.True(float64(most) < 2.5*mean)
	is.True(atOnce < 40)
}

func TestHostIsNotAskedTwiceForARequest(t *testing.T) {
	is := is.New(t)
	p := NewPeers(rand.IntN)
	asked := map[string]bool{}
	for range 3 {
		host, ok := p.Choose([]string{"a", "b", "c"}, func(h string) bool { return asked[h] }, time.Unix(1, 0))
		is.True(ok)
		is.True(!asked[host])
		asked[host] = true
		p.Taken(host)
	}
	_, ok := p.Choose([]string{"a", "b", "c"}, func(h string) bool { return asked[h] }, time.Unix(1, 0))
	is.True(!ok)
}

func TestHostThatDeclinedIsAskedAgainLater(t *testing.T) {
	is := is.New(t)
	p := NewPeers(rand.IntN)
	none := func(string) bool { return false }
	now := time.Unix(1000, 0)
	p.Taken("a")
	p.Ended("a")
	p.Declined("a", now)
	_, ok := p.Choose([]string{"a"}, none, now)
	is.True(!ok)
	_, ok = p.Choose([]string{"a"}, none, now.Add(declineTTL))
	is.True(ok)
	_, ok = p.Choose([]string{"b"}, none, now)
	is.True(ok)
}

// A host that is slow for a moment is asked again soon, one that never decides ever more seldom.
func TestHostWithoutADecisionIsAskedMoreSeldom(t *testing.T) {
	is := is.New(t)
	p := NewPeers(rand.IntN)
	none := func(string) bool { return false }
	now := time.Unix(1000, 0)
	isAsked := func(after time.Duration) bool {
		_, ok := p.Choose([]string{"a"}, none, now.Add(after))
		return ok
	}
	p.Unreachable("a", now)
	is.True(isAsked(0)) // there is nobody else
	host, ok := p.Choose([]string{"a", "b"}, none, now)
	is.True(ok)
	is.Equal(host, "b")
	for range maxTries {
		p.Unreachable("a", now)
	}
	is.True(!isAsked(0))
	for range 10 {
		p.Unreachable("a", now)
	}
	is.True(!isAsked(maxUnreachableTTL - 1))
	is.True(isAsked(maxUnreachableTTL))
	p.Taken("a")
	p.Unreachable("a", now)
	is.True(isAsked(minUnreachableTTL))
}

// A host that had just taken a request was not asked for a while, since an earlier offer to it had
// failed. With hosts of an older release only beside it, all requests were refused meanwhile.
func TestHostThatTakesARequestIsAskedAgain(t *testing.T) {
	is := is.New(t)
	none := func(string) bool { return false }
	p := NewPeers(func(int) int { return 0 })
	now := time.Now()
	p.Unreachable("a", now)
	p.Taken("a") // an offer that was made before
	host, ok := p.Choose([]string{"a"}, none, now)
	is.True(ok)
	is.Equal(host, "a")
}
