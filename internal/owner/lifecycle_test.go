package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// TestRetentionTrimsAllButCheckpoints lives through many retentions, then has
// a host that never saw the first records take over.
func TestRetentionTrimsAllButCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{Retention: 10 * time.Minute}, nil)
		defer c.stop()
		root := c.open("root", 5000)
		child := c.openChildren(root.ProgramID, 1)[0]
		first, err := c.call(posting(root.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		_, err = c.call(modelCall(child, 1, "r1"))
		c.is.NoErr(err)
		c.is.NoErr(c.nodes[0].Quarantine(context.Background(), 4711))
		time.Sleep(35 * time.Minute)
		_, err = c.call(modelCall(root.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		time.Sleep(35 * time.Minute)
		history, spent := c.history(root.ProgramID), c.view(root.ProgramID).SpentTokens

		old := c.nodes
		late := c.add("late", 1)
		var poisoned []uint64
		late.p.OnQuarantine = func(f uint64) { poisoned = append(poisoned, f) }
		c.is.NoErr(late.Start(context.Background()))
		time.Sleep(time.Second)
		for _, n := range old {
			c.kill(n)
		}
		c.is.True(len(poisoned) > 0 && poisoned[0] == 4711)
		again, err := c.call(posting(root.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		c.is.Equal(first, again)
		c.is.Equal(c.history(root.ProgramID), history)
		c.is.Equal(len(c.history(child)), 1)
		c.is.Equal(c.view(root.ProgramID).SpentTokens, spent)
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
		_, err = c.call(modelCall(root.ProgramID, 3, "r3"))
		c.is.NoErr(err)
	})
}

// TestEndedProgramIsEvictedAndForgotten ends a program, restarts its owner
// before the evictions, and lets it expire.
func TestEndedProgramIsEvictedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		for seq := int64(1); seq <= 4; seq++ {
			_, err := c.call(modelCall(v.ProgramID, seq, fmt.Sprint("r", seq)))
			c.is.NoErr(err)
		}
		// The owner is lost with a call on an engine that no record names.
		owner := c.owner(v.ProgramID)
		go func() { _, _ = owner.Call(context.Background(), modelCall(v.ProgramID, 5, "r5"), nil) }()
		time.Sleep(5 * time.Millisecond)
		c.kill(owner)
		end := func(n *node) (port.ProgramView, error) { return n.End(context.Background(), v.ProgramID) }
		_, err := anywhere(c, end)
		c.is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.noKV(v.ProgramID)
		c.is.Equal(len(c.history(v.ProgramID)), 4)
		time.Sleep(defaultExpiry + time.Minute)
		_, err = c.call(modelCall(v.ProgramID, 5, "r5"))
		refusedAs(c, err, fault.UnknownProgram)
	})
}

// TestPlannedStop releases all partitions while calls run: none is cut, and
// the next owner needs no failure detection.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		owner := c.owner(v.ProgramID)
		running := make(chan error, 1)
		go func() {
			_, err := owner.Call(context.Background(), modelCall(v.ProgramID, 1, "r1"), nil)
			running <- err
		}()
		time.Sleep(5 * time.Millisecond)
		began := time.Now()
		c.is.NoErr(owner.Release(context.Background()))
		c.is.NoErr(<-running)
		_, err := owner.Call(context.Background(), modelCall(v.ProgramID, 2, "r2"), nil)
		_, moved := err.(*port.NotOwnerError)
		c.is.True(moved)
		owner.dead = true
		for _, n := range without(c.nodes, owner) {
			n.members.set(owner.self.Host, 1, port.MemberLeaving)
		}
		_, err = c.call(modelCall(v.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		c.is.True(time.Since(began) < time.Second)
		// A release leaves nothing in doubt.
		c.is.Equal(c.view(v.ProgramID).ReservedTokens, int64(0))
		owner.dead = false
	})
}

// TestCallsWaitForADrain has the planned stop wait for a long stream. Calls
// for the same partition wait with it and are not refused.
func TestCallsWaitForADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		root := c.open("root", 5000)
		child := c.openChildren(root.ProgramID, 1)[0]
		owner := c.owner(root.ProgramID)
		long := modelCall(root.ProgramID, 1, "r1")
		long.Model, long.MaxTokens = "slow", 15
		running := make(chan error, 1)
		go func() {
			_, err := owner.Call(context.Background(), long, nil)
			running <- err
		}()
		time.Sleep(time.Second)
		next := without(c.nodes, owner)[0]
		next.members.set(owner.self.Host, 1, port.MemberLeaving)
		go func() { _ = owner.Release(context.Background()) }()
		time.Sleep(time.Millisecond)
		_, err := next.Call(context.Background(), posting(child, 1, "pay"), nil)
		c.is.NoErr(err)
		c.is.NoErr(<-running)
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
	})
}

// TestPartitionsSpread has hosts that join take their share after the
// hold-down, without a failed call.
func TestPartitionsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 1<<20)
		for i := range 4 {
			c.is.NoErr(c.add(fmt.Sprint("joined", i), 1).Start(context.Background()))
		}
		began := time.Now()
		for seq := int64(1); time.Since(began) < (busyHoldDowns+5)*defaultHoldDown; seq++ {
			_, err := c.call(posting(v.ProgramID, seq, fmt.Sprint("pay", seq)))
			c.is.NoErr(err)
		}
		for _, n := range c.nodes {
			view := n.memberView()
			for _, p := range n.Partitions() {
				c.is.Equal(p.Owner, view.first(p.Partition))
			}
		}
	})
}

// TestFlappingHostTakesNothing shows another host for less than the hold-down,
// again and again.
func TestFlappingHostTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		n := c.nodes[0]
		c.open("open", 5000)
		time.Sleep(time.Second)
		before := n.Partitions()
		for range 10 {
			for _, id := range []string{"x", "y", "z"} {
				n.members.set(id, 1, port.MemberAlive)
			}
			time.Sleep(defaultHoldDown - time.Second)
			for _, id := range []string{"x", "y", "z"} {
				n.members.set(id, 1, port.MemberDead)
			}
			time.Sleep(time.Second)
		}
		c.is.Equal(n.Partitions(), before)
	})
}
