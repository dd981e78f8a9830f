package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/upstream"
)

var deadlyPath = poison.Feature{Kind: poison.Path, Fingerprint: 70}

// endWithPath ends targets by requests with the deadly path.
var endWithPath = &ending{name: "with a path", restartTime: restartTime, record: func(n *node, content uint64, target upstream.Target) {
	n.crashes.RecordInterruption(content, target, deadlyPath)
}}

// blocking returns how many hosts refuse requests with the deadly path and a new body.
func (c *cluster) blocking() int {
	n := 0
	for _, name := range c.names {
		features := func() []poison.Feature { return []poison.Feature{{Fingerprint: 99}, deadlyPath} }
		if _, isBlocked := c.host(name).crashes.Blocks(features); isBlocked {
			n++
		}
	}
	return n
}

// Guards against evidence on a path that stays at the host that has it, which would let the path
// crash three targets for each host, and against an answer that releases it at one host alone.
func TestHostsShareEvidenceOnPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, 12, 1)
		defer c.stop()
		c.how = endWithPath
		for i, name := range []string{"h0", "h1", "h2"} {
			c.crashTarget(c.host(name), c.targets[c.anyTarget()], uint64(200+i))
			time.Sleep(settleTime)
		}
		is.Equal(c.blocking(), len(c.names))
		c.stopHost("h3")
		c.start("h3")
		time.Sleep(settleTime)
		is.Equal(c.blocking(), len(c.names))
		c.host("h4").crashes.RecordSuccessOf(func() []poison.Feature { return []poison.Feature{{Fingerprint: 98}, deadlyPath} }, "t")
		time.Sleep(settleTime)
		is.Equal(c.blocking(), 0)
	})
}
