package occupancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/ratelimit"
	"yuccausher/internal/core/rendezvous"
	"yuccausher/internal/testutil"
)

// The users' bound: stableTime after a target first named a limit it gets in no window more
// than factor times what the limit allows and slack requests more, of hosts that had such
// an answer knownTime before or earlier.
const (
	window     = 4 * time.Second
	factor     = 1.5
	slack      = 5
	stableTime = 3 * time.Second
	knownTime  = 500 * time.Millisecond
)

const limited = "limited"

// limitCluster is a number of hosts before a target with a rate limit. Requests arrive at
// random hosts, each of which sends them if the target's limit permits it.
type limitCluster struct {
	*hosts
	t      *testing.T
	random *rand.Rand
	// rate is the limit that the target names; negative for none.
	rate float64
	// toldAt is when each host first got an answer with a limit.
	toldAt map[string]time.Time
	// counted are the requests to which the bound applies; gets are all.
	counted, gets []time.Time
	refused       int
}

func newLimitCluster(t *testing.T, n int, rate float64, seed uint64) *limitCluster {
	c := &limitCluster{hosts: newHosts(t, n), t: t, random: rand.New(rand.NewPCG(seed, 5)), rate: rate, toldAt: make(map[string]time.Time)}
	c.change(func() { c.views = make(map[string][]string) })
	for _, name := range c.names {
		c.join(name)
	}
	time.Sleep(time.Minute)
	return c
}

// join puts the target into a host's fleet.
func (c *limitCluster) join(name string) {
	c.fleetOf(name).Put(fleet.Member{ID: limited, Service: "app", Slots: 4, DataCentre: "here", Address: "a"})
}

// order returns the hosts in the target's order.
func (c *limitCluster) order() []string {
	return rendezvous.Order(limited, c.names, func(name string) string { return name })
}

// request lets a host send a request if the limit permits it.
func (c *limitCluster) request(name string) {
	f := c.fleetOf(name)
	if len(f.Candidates(fleet.Request{Service: "app"}, 1, time.Now())) == 0 || !c.services[name].Permit(c.t.Context(), limited, c.random.IntN(3)) {
		c.refused++
		return
	}
	now := time.Now()
	c.gets = append(c.gets, now)
	if at, ok := c.toldAt[name]; ok && now.Sub(at) >= knownTime {
		c.counted = append(c.counted, now)
	}
	s := ratelimit.Statement{Rate: c.rate, IsLimited: c.rate >= 0, SentAt: now, ReceivedAt: now.Add(time.Millisecond)}
	if s.IsLimited && c.toldAt[name].IsZero() {
		c.toldAt[name] = s.ReceivedAt
	}
	wasLimited := f.Limit(limited).IsLimited
	if f.ObserveLimit(fleet.TargetLimit{ID: limited, Statement: s}) && s.IsLimited != wasLimited {
		c.services[name].LimitChanged(limited)
	}
}

// run sends perSecond requests a second to random hosts for a time.
func (c *limitCluster) run(perSecond float64, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second)))
		var up []string
		for _, name := range c.names {
			if !c.silent[name] {
				up = append(up, name)
			}
		}
		c.request(up[c.random.IntN(len(up))])
	}
}

// check holds the requests from a time on against the bound.
func (c *limitCluster) check(what string, from time.Time, rate float64) {
	c.t.Helper()
	var times []time.Time
	for _, at := range c.counted {
		if !at.Before(from) {
			times = append(times, at)
		}
	}
	if most := testutil.MostWithin(times, window); float64(most) > factor*window.Seconds()*rate+slack {
		c.t.Errorf("%s: %d requests within %v at a limit of %v", what, most, window, rate)
	}
}

// silence makes a host accept requests and answer none.
func (c *limitCluster) silence(name string) { c.change(func() { c.silent[name] = true }) }

// view sets the other hosts that a host knows.
func (c *limitCluster) view(name string, known []string) {
	others := slices.DeleteFunc(slices.Clone(known), func(other string) bool { return other == name })
	c.change(func() { c.views[name] = others })
}

// The sum over all hosts stays within the bound, also at 410 hosts, of which each sends the
// target a request in several seconds.
func TestRateLimitHoldsOverAllHosts(t *testing.T) {
	for _, n := range []int{1, 12, 410} {
		for _, rate := range []float64{0.3, 1, 8} {
			t.Run(fmt.Sprint(n, " hosts, ", rate, " a second"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newLimitCluster(t, n, rate, uint64(n))
					begun := time.Now()
					c.run(60, 20*time.Second)
					c.check("limited", begun.Add(stableTime), rate)
					late := 0
					for _, at := range c.gets {
						if at.Sub(begun) > 4*time.Second {
							late++
						}
					}
					is.True(float64(late) >= 0.8*rate*16-1) // the target is used up to its limit
				})
			})
		}
	}
}

// The bound holds while coordinators fall silent, end, start and are unknown to some hosts.
func TestRateLimitHoldsWhileCoordinatorsChange(t *testing.T) {
	const rate = 6.0
	changes := map[string]func(c *limitCluster){
		"the first falls silent": func(c *limitCluster) { c.silence(c.order()[0]) },
		"the first is silent for half of the hosts, which ask the second": func(c *limitCluster) {
			for i, name := range c.names {
				if i%2 == 0 {
					s := c.services[name]
					s.mu.Lock()
					s.paused.Failed(c.order()[0], time.Now())
					s.mu.Unlock()
				}
			}
		},
		"the first has ended, as half of the hosts know": func(c *limitCluster) {
			gone := c.order()[0]
			c.silence(gone)
			rest := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == gone })
			for i, name := range c.names {
				if i%2 == 0 {
					c.view(name, rest)
				}
			}
		},
		"a new host is the first, as half of the hosts know": func(c *limitCluster) {
			old := slices.Clone(c.names)
			for n := 0; ; n++ {
				newcomer := fmt.Sprint("new-", n)
				c.change(func() { c.names = append(slices.Clone(old), newcomer) })
				if c.order()[0] == newcomer {
					break
				}
			}
			newcomer := c.names[len(c.names)-1]
			c.start(c.t, newcomer)
			c.join(newcomer)
			for i, name := range old {
				c.view(name, old)
				if i%2 == 0 {
					c.view(name, c.names)
				}
			}
		},
		"both coordinators fall silent": func(c *limitCluster) {
			for _, name := range c.order()[:2] {
				c.silence(name)
			}
		},
	}
	for what, change := range changes {
		for _, n := range []int{12, 410} {
			t.Run(fmt.Sprint(what, ", ", n, " hosts"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newLimitCluster(t, n, rate, 7)
					begun := time.Now()
					c.run(60, 6*time.Second)
					change(c)
					c.run(60, 4500*time.Millisecond) // until all hosts know
					for _, name := range c.names {
						var up []string
						for _, other := range c.names {
							if !c.silent[other] {
								up = append(up, other)
							}
						}
						c.view(name, up)
					}
					settled := len(c.gets)
					c.run(60, 12*time.Second)
					c.check(what, begun.Add(stableTime), rate)
					if served := len(c.gets) - settled; served < int(rate*12/3) {
						t.Errorf("%d requests in 12 s", served)
					}
				})
			})
		}
	}
}

// A limit that is lowered is kept by all hosts, one that is raised is used, and one that is
// withdrawn ends at all hosts within a second or two.
func TestRateLimitFollowsItsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLimitCluster(t, 40, 8, 3)
		c.run(60, 8*time.Second)
		c.rate = 1
		c.run(60, stableTime)
		lowered := time.Now()
		c.run(60, 10*time.Second)
		c.check("lowered", lowered, 1)
		c.rate = 20
		c.run(60, 2*time.Second)
		before := len(c.gets)
		c.run(60, 10*time.Second)
		is.True(len(c.gets)-before >= 150)
		c.rate = -1
		c.run(60, 2*time.Second)
		c.refused = 0
		c.run(60, 5*time.Second)
		is.True(c.refused <= 5)
	})
}

// A target that has started anew has named no limit: turns that prefer it go there.
func TestRateLimitEndsWithTheRunOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLimitCluster(t, 4, 0, 2)
		c.run(20, 5*time.Second)
		is.True(c.refused > 50)
		next := fleet.Member{ID: limited, Service: "app", Slots: 4, DataCentre: "here", Address: "a", StartedAt: 9}
		for _, name := range c.names {
			c.fleetOf(name).Put(next)
		}
		for _, name := range c.names {
			p := c.services[name].Place(t.Context(), request([]fleet.Member{next, {ID: "other", Service: "app", Slots: 4}}))
			is.Equal(p.Index, 0)
			p.Finish(occupancy.Answered)
			time.Sleep(time.Second)
		}
	})
}

// A host that has not met the limit learns it from answers of coordinators.
func TestHostsLearnLimitsThatTheyHaveNotMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLimitCluster(t, 6, 2, 1)
		c.request(c.names[0])
		time.Sleep(time.Second)
		for round := range 3 {
			for _, name := range c.names {
				// Turns are placed at targets with other coordinators.
				candidates := members(12, 8)
				p := c.services[name].Place(t.Context(), request(candidates[4*round:4*round+4]))
				p.Finish(0)
			}
			time.Sleep(time.Second)
		}
		for _, name := range c.names {
			is.True(c.fleetOf(name).Limit(limited).IsLimited)
		}
	})
}

// A turn goes to a target whose limit leaves room; if none does, it is not placed.
func TestTurnsGoWhereRateLimitsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHosts(t, 3)
		list := members(3, 8)
		for _, name := range h.names {
			for _, m := range list {
				h.fleetOf(name).Put(m)
			}
		}
		limit := func(id string) {
			for _, name := range h.names {
				h.fleetOf(name).ObserveLimit(fleet.TargetLimit{ID: id, Statement: ratelimit.Statement{IsLimited: true, ReceivedAt: time.Now()}})
			}
		}
		time.Sleep(time.Minute)
		self := h.services[h.names[0]]
		limit(list[0].ID)
		self.Place(t.Context(), request(list)) // the one request in several seconds
		p := self.Place(t.Context(), request(list))
		is.True(!p.IsDenied)
		is.True(p.Index != 0)
		limit(list[1].ID)
		limit(list[2].ID)
		for range 4 {
			p = self.Place(t.Context(), request(list))
		}
		is.True(p.IsDenied)
	})
}

// The quota of a target that has gone while it limited its rate was kept for good.
func TestQuotasOfGoneTargetsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLimitCluster(t, 3, 2, 1)
		c.run(20, 5*time.Second)
		for _, name := range c.names {
			c.fleetOf(name).Remove(limited)
		}
		time.Sleep(quotaTTL + 2*sweepInterval)
		for _, name := range c.names {
			s := c.services[name]
			s.mu.Lock()
			is.Equal(len(s.quotas), 0)
			s.mu.Unlock()
		}
	})
}
