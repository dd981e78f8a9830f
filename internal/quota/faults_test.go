package quota

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yuccausher/internal/gateway"
)

// disturb changes what the hosts can do, at one host.
func (c *cluster) disturb(kind, host string, draw int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind {
	case "fall":
		c.services[host].stop()
		c.services[host] = nil
	case "cut":
		c.side[host] = 1 + draw%2
	case "cut alone":
		c.side[host] = 10 + draw
	case "join":
		c.side = make(map[string]int)
	case "lose":
		c.loss = 0.3
	case "lose none":
		c.loss = 0
	case "view":
		// The host, or half of the hosts, do not know one that has joined.
		unknown := c.names[draw%len(c.names)]
		rest := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == unknown })
		c.views[host] = rest
		for i := 0; draw >= 5 && i < len(c.names); i += 2 {
			c.views[c.names[i]] = rest
		}
	case "views":
		c.views = make(map[string][]string)
	case "limit":
		c.limit = gateway.OrganisationLimit{PerSecond: []float64{2, 15, 60}[draw%3], Burst: []float64{1, 15, 60}[draw%3], Version: c.limit.Version + 1}
	}
}

// step is a disturbance and the time after it.
type step struct {
	Kind       string
	Host, Draw int
	// Rate is the rate of the requests as a multiple of the limit.
	Rate   float64
	Length time.Duration
}

func drawStep(t *rapid.T) step {
	return step{
		Kind:   rapid.SampledFrom([]string{"fall", "cut", "cut", "cut alone", "join", "lose", "lose none", "view", "views", "limit"}).Draw(t, "kind"),
		Host:   rapid.IntRange(0, 9).Draw(t, "host"),
		Draw:   rapid.IntRange(0, 9).Draw(t, "draw"),
		Rate:   rapid.SampledFrom([]float64{0.6, 3.4}).Draw(t, "rate"),
		Length: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "length"),
	}
}

// The users' bound holds in every window while hosts fall, start again, lose messages, are cut off from
// others, and know different hosts, and while the limit and the requests change. Guards against permits
// that are granted twice, by two coordinators or for a lost report.
func TestBoundHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 10).Draw(rt, "hosts")
		limit := rapid.SampledFrom([]float64{2, 15, 60, 120}).Draw(rt, "limit")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 2, 5).Draw(rt, "steps")
		burst := rapid.SampledFrom([]float64{0, 1}).Draw(rt, "burst") * limit
		// Requests of uneven entry come to the first host that is up.
		isUneven := rapid.Bool().Draw(rt, "uneven")
		seed := rapid.Uint64().Draw(rt, "seed")
		most, bound := 0, 0.0
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, n, limit, burst, seed)
			highest := c.limit
			pick := func() string {
				for i := 0; ; i++ {
					name := c.names[i%n]
					if !isUneven {
						name = c.anywhere()
					}
					if c.services[name] != nil {
						return name
					}
				}
			}
			for _, s := range steps {
				host := c.names[s.Host%n]
				c.disturb(s.Kind, host, s.Draw)
				highest.PerSecond, highest.Burst = max(highest.PerSecond, c.limit.PerSecond), max(highest.Burst, c.limit.Burst)
				c.run(c.limit.PerSecond*s.Rate, s.Length, pick)
				if s.Kind == "fall" {
					c.start(host)
				}
			}
			most, bound = c.most(highest, time.Time{})
		})
		if float64(most) > bound {
			rt.Fatalf("%d requests in a window, at most %.1f are allowed", most, bound)
		}
	})
}

// Hosts that know few of the others must stay below the bound together, as after a start of all hosts.
func TestBoundHoldsWhileHostsKnowFewOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 120, 120, 1)
		c.change(func() {
			for _, name := range c.names {
				c.views[name] = []string{name}
			}
		})
		time.Sleep(5 * time.Second)
		begun := time.Now()
		c.run(3.4*120, 6*time.Second, c.anywhere)
		c.check(c.limit, begun)
	})
}
