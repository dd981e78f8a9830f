package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// clusterWithReplacedOwner returns a cluster whose first node owned the partition of
// a request and is paused. Its successor has opened the request's program.
func clusterWithReplacedOwner(t *testing.T) (c *cluster, old *node, id string) {
	c = newCluster(t, 2, standin.LogOptions{}, nil)
	time.Sleep(time.Second)
	request, old := requestOwnedBy(c, 0)
	old.gate.pause()
	c.markDead(old)
	time.Sleep(3 * time.Second)
	old.dead = true
	view := c.open(request, 1000)
	_, err := c.call(modelCall(view.ProgramID, 1, "m1"))
	c.is.NoErr(err)
	old.dead = false
	return c, old, view.ProgramID
}

// requestOwnedBy returns a request ID whose program node i would own, and that node.
func requestOwnedBy(c *cluster, i int) (string, *node) {
	n := c.nodes[i]
	for request := 'a'; ; request++ {
		key := partition.NewRootKey("f", string(request))
		for _, v := range n.Partitions() {
			if v.Partition == partition.OfKey(key, testPartitions) && v.State == "owned" {
				return string(request), n
			}
		}
	}
}

// TestResumedOwnerKnowsSuccessorsProgram checks that an owner that resumes after a
// pause does not report a program as unknown that its successor has opened.
func TestResumedOwnerKnowsSuccessorsProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, old, id := clusterWithReplacedOwner(t)
		defer c.stop()
		old.gate.resume()
		var moved *port.NotOwnerError
		_, err := old.Program(context.Background(), id)
		c.is.True(errors.As(err, &moved))
		_, err = old.Call(context.Background(), modelCall(id, 2, "m2"), nil)
		c.is.True(errors.As(err, &moved))
		child := spec("child", 0)
		child.Parent = id
		_, err = old.Open(context.Background(), child)
		c.is.True(errors.As(err, &moved))
	})
}

// TestLookupDuringLogOutage checks that a program that is not in the state is not
// reported as unknown while the log cannot be read, since the log may hold it.
func TestLookupDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, old, id := clusterWithReplacedOwner(t)
		defer c.stop()
		old.gate.set(func(g *gate) { g.logUnreachable = true })
		old.gate.resume()
		_, err := old.Call(context.Background(), modelCall(id, 2, "m2"), nil)
		f, ok := fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Type, fault.LogUnavailable)
		c.is.Equal(f.Run, fault.Unknown) // its successor may have run it
	})
}

// TestUnknownProgram checks that a program that is not in the state is reported as
// unknown while the log can be read.
func TestUnknownProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		_, err := c.call(modelCall("nobody.1", 1, "m1"))
		c.is.Equal(fault.Of(err).Type, fault.UnknownProgram)
	})
}
