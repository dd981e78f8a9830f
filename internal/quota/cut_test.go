package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// While 35% of the hosts are cut off from the others for 12 s, the bound holds, and the limit is used as
// far as the shares of the two parts allow. Usual requests, 1 / 1.6 of the limit, come evenly.
func TestLimitIsUsedWhileHostsAreCutOff(t *testing.T) {
	for _, limit := range []float64{20, 60} {
		for _, multiple := range []float64{1, 5.5} {
			t.Run(fmt.Sprint(limit, " a second, requests at ", multiple, " times the usual rate"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const hosts, cut = 84, 29
					c := newCluster(t, hosts, limit, limit, 3)
					time.Sleep(5 * time.Second)
					begun := time.Now()
					c.run(limit/1.6, 3*time.Second, c.anywhere)
					c.change(func() {
						for _, name := range c.names[:cut] {
							c.side[name] = 1
						}
					})
					admittedBefore, refusedBefore, _, _ := c.counts()
					c.run(multiple*limit/1.6, 12*time.Second, c.anywhere)
					admitted, refused, _, _ := c.counts()
					admitted, refused = admitted-admittedBefore, refused-refusedBefore
					c.change(func() { c.side = make(map[string]int) })
					c.run(multiple*limit/1.6, 3*time.Second, c.anywhere)
					c.check(c.limit, begun)
					most := min(float64(admitted+refused), limit*13)
					t.Logf("%d admitted, %d refused, %.1f%% of the limit wasted", admitted, refused, 100*(1-float64(admitted)/most))
					// The part that is cut off has 35% of the limit. Its hosts wait 2 s before they use it.
					if float64(admitted) < 0.65*most {
						t.Errorf("%d of %.0f requests admitted", admitted, most)
					}
				})
			})
		}
	}
}
