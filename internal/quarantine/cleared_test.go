package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func deadlyContent() uint64 { return deadly }

// crashOnce crashes a target that runs the deadly content for a host.
func (c *cluster) crashOnce(name string) {
	c.crashTarget(c.host(name), c.targets[c.anyTarget()], deadly)
}

// verdicts returns how many hosts have quarantined the deadly content.
func (c *cluster) verdicts() int {
	n := 0
	for _, name := range c.names {
		if c.host(name).crashes.IsQuarantined(deadlyContent) {
			n++
		}
	}
	return n
}

// A host that had cleared content counted its earlier marks never again, while the others
// quarantined the content after the next crash.
func TestHostsAgreeOnContentThatOneHasCleared(t *testing.T) {
	for name, restart := range map[string]bool{"all run on": false, "a host restarts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 6, 12, 1)
				defer c.stop()
				c.crashOnce("h0")
				c.crashOnce("h1")
				time.Sleep(settleTime)
				c.host("h2").crashes.RecordSuccess(deadlyContent, "t")
				time.Sleep(settleTime)
				if restart {
					c.stopHost("h3")
					c.start("h3")
					time.Sleep(settleTime)
				}
				c.crashOnce("h4")
				time.Sleep(settleTime)
				n := c.verdicts()
				is.True(n == 0 || n == len(c.names))
				c.crashOnce("h5")
				c.crashOnce("h0")
				time.Sleep(settleTime)
				is.Equal(c.verdicts(), len(c.names))
			})
		})
	}
}
