package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/ledger"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// spentByTree returns the tokens that the engines have charged to the programs.
func (c *cluster) spentByTree(ids ...string) int64 {
	var sum int64
	for _, id := range ids {
		sum += c.spentAtEngines(id)
	}
	return sum
}

func (c *cluster) openChildren(parent string, n int) []string {
	var ids []string
	for i := range n {
		s := spec(fmt.Sprint("child", i), 0)
		s.Parent = parent
		v, err := c.tryOpen(s)
		c.is.NoErr(err)
		c.is.Equal(partition.RootKey(v.ProgramID), partition.RootKey(parent))
		ids = append(ids, v.ProgramID)
	}
	return ids
}

// TestSubAgentsShareBudget has 100 sub-agents spend one budget at the same time.
func TestSubAgentsShareBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 1000
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		root := c.open("root", budget)
		ids := c.openChildren(root.ProgramID, 100)
		results := make(chan error, len(ids))
		for _, id := range ids {
			go func() {
				_, err := c.call(modelCall(id, 1, "r1"))
				results <- err
			}()
		}
		served := 0
		for range ids {
			err := <-results
			if err == nil {
				served++
				continue
			}
			checkRefused(c, err, fault.BudgetExceeded)
		}
		all := append(ids, root.ProgramID)
		spent := c.spentByTree(all...)
		c.is.True(served > 0)
		c.is.True(served < len(ids))
		c.is.True(spent <= budget)
		c.is.Equal(c.view(root.ProgramID).SpentTokens, spent)
		c.is.Equal(c.view(root.ProgramID).ReservedTokens, int64(0))
	})
}

// granted returns the escrow in tokens of a program's tree.
func (n *node) granted(id string) int64 {
	key := partition.RootKey(id)
	p := n.layout.Load().partitions[partition.OfKey(key, testPartitions)]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Tree(key).Granted
}

// TestTakeoverWithUnsettledSlices kills the owner while calls spend tokens. Its
// escrow counts as spent until the engines report how much was spent.
func TestTakeoverWithUnsettledSlices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 600
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		root := c.open("root", budget)
		ids := c.openChildren(root.ProgramID, 4)
		owner := c.owner(root.ProgramID)
		large := func(id string) port.Call {
			call := modelCall(id, 1, "r1")
			call.MaxTokens = budget/int64(len(ids)) - 10
			return call
		}
		for _, id := range ids {
			go func() { _, _ = owner.Call(context.Background(), large(id), nil) }()
		}
		for owner.granted(root.ProgramID) < budget {
			time.Sleep(time.Millisecond)
		}
		c.is.True(c.spentByTree(ids...) > 0)
		c.kill(owner)
		// The complete budget was granted, so the next call has to wait.
		_, err := c.call(large(root.ProgramID))
		c.is.NoErr(err)
		c.is.True(c.view(root.ProgramID).ReservedTokens == 0)
		all := append(ids, root.ProgramID)
		for seq := int64(2); err == nil && seq < 50; seq++ {
			_, err = c.call(modelCall(root.ProgramID, seq, fmt.Sprint("r", seq)))
		}
		checkRefused(c, err, fault.BudgetExceeded)
		spent := c.spentByTree(all...)
		c.is.True(spent <= budget)
		c.is.True(c.view(root.ProgramID).SpentTokens >= spent)
	})
}

// TestOwnerWithoutLogKeepsSpending has an owner without a connection to the log
// receive calls while its successor spends from the same budget.
func TestOwnerWithoutLogKeepsSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 600
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		root := c.open("root", budget)
		ids := c.openChildren(root.ProgramID, 20)
		old := c.owner(root.ProgramID)
		old.gate.set(func(g *gate) { g.logUnreachable = true })
		c.markDead(old)
		for i, id := range ids {
			go func() {
				time.Sleep(time.Duration(i) * time.Second)
				_, _ = old.Call(context.Background(), modelCall(id, 1, "r1"), nil)
			}()
		}
		others := &cluster{t: t, is: c.is, nodes: without(c.nodes, old)}
		began := time.Now()
		for seq := int64(1); time.Since(began) < 30*time.Second; {
			_, err := others.call(modelCall(root.ProgramID, seq, fmt.Sprint("r", seq)))
			if err == nil {
				seq++
			}
			time.Sleep(500 * time.Millisecond)
		}
		spent := c.spentByTree(append(ids, root.ProgramID)...)
		c.is.True(spent > budget/2)
		c.is.True(spent <= budget)
	})
}

// TestReconcileCancelsRunningCalls has a call of the lost owner still running at its
// engine, so that its cost grows until the call is cancelled.
func TestReconcileCancelsRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const budget = 200
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("root", budget)
		child := c.openChildren(v.ProgramID, 1)[0]
		owner := c.owner(v.ProgramID)
		slow := modelCall(child, 1, "r1")
		slow.Model, slow.MaxTokens = "slow", 150
		go func() { _, _ = owner.Call(context.Background(), slow, nil) }()
		time.Sleep(time.Second)
		c.kill(owner)
		var err error
		for seq := int64(1); err == nil; seq++ {
			_, err = c.call(modelCall(v.ProgramID, seq, fmt.Sprint("r", seq)))
		}
		checkRefused(c, err, fault.BudgetExceeded)
		time.Sleep(time.Minute)
		c.is.True(c.spentByTree(v.ProgramID, child) <= budget)
		c.is.True(c.spentAtEngines(v.ProgramID) > 0)
		c.is.Equal(c.fleet.Engine("slow").Now().Running, 0)
	})
}

// TestEngineRestartBeforeTakeover restarts an engine before the takeover. Its usage
// data is lost, so all unsettled escrow stays charged.
func TestEngineRestartBeforeTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("root", 600)
		owner := c.owner(v.ProgramID)
		large := modelCall(v.ProgramID, 1, "r1")
		large.MaxTokens = 550
		go func() { _, _ = owner.Call(context.Background(), large, nil) }()
		time.Sleep(2 * appendTime)
		c.kill(owner)
		c.fleet.Engine("e1").Crash()
		_, err := c.call(large)
		f := fault.Of(err)
		c.is.Equal(f.Type, fault.BudgetExceeded)
		c.is.Equal(f.Run, fault.Unknown) // the lost owner had dispatched it
		c.is.Equal(c.view(v.ProgramID).ReservedTokens, int64(600))
	})
}

// TestTargetReportsMoreThanReserved checks that usage beyond the reservation is
// charged, and that no further call starts beyond the budget.
func TestTargetReportsMoreThanReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("root", 300)
		c.nodes[0].gate.set(func(g *gate) { g.extraOutputTokens = 1000 })
		_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		c.is.True(c.view(v.ProgramID).SpentTokens > 1000)
		_, err = c.call(modelCall(v.ProgramID, 2, "r2"))
		checkRefused(c, err, fault.BudgetExceeded)
	})
}

// TestLoopLimits checks that each limit of an agent stops a looping program.
func TestLoopLimits(t *testing.T) {
	limits := map[string]func(*config.Agent){
		reasonTurns:    func(a *config.Agent) { a.MaxTurns = 3 },
		reasonTokens:   func(a *config.Agent) { a.MaxTokens = 60 },
		reasonRepeats:  func(a *config.Agent) { a.MaxRepeats = 3 },
		reasonWallTime: func(a *config.Agent) { a.MaxWallMS = 2500 },
	}
	for reason, set := range limits {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, standin.LogOptions{}, func(d *config.Document) { set(&d.Agents[0]) })
				defer c.stop()
				v := c.open("open", 1<<20)
				var err error
				served := 0
				for seq := int64(1); err == nil && seq < 10; seq++ {
					call := modelCall(v.ProgramID, seq, fmt.Sprint("r", seq))
					call.Input = []byte(`"again"`)
					_, err = c.call(call)
					served++
					time.Sleep(500 * time.Millisecond)
				}
				checkRefused(c, err, fault.ProgramStopped)
				c.is.True(served > 1)
				time.Sleep(time.Second)
				c.is.Equal(c.view(v.ProgramID).State, port.ProgramStopped)
				c.checkNoKV(v.ProgramID)
			})
		})
	}
}

// checkNoKV checks that no engine holds KV cache for a program.
func (c *cluster) checkNoKV(id string) {
	c.t.Helper()
	for _, name := range c.fleet.EngineNames() {
		for _, held := range c.fleet.Engine(name).Now().KVPrograms {
			c.is.True(held != id)
		}
	}
}

// TestOrganisationBudget opens more programs than their organisation's budget allows.
func TestOrganisationBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, func(d *config.Document) { d.Organisations[0].BudgetTokens = 1000 })
		defer c.stop()
		time.Sleep(time.Second)
		results := make(chan error, 50)
		for i := range cap(results) {
			go func() {
				_, err := c.nodes[i%2].Open(context.Background(), spec(fmt.Sprint("open", i), 100))
				results <- err
			}()
			time.Sleep(2 * appendTime)
		}
		opened := 0
		for range cap(results) {
			err := <-results
			if err == nil {
				opened++
				continue
			}
			if _, moved := err.(*port.NotOwnerError); !moved {
				checkRefused(c, err, fault.BudgetExceeded)
			}
		}
		c.is.Equal(opened, 10)
		// An existing program is still returned, and an ended one frees its budget.
		first := c.anyOpen()
		s := spec(first.Open.RequestId, 100)
		again, err := c.tryOpen(s)
		c.is.NoErr(err)
		c.is.Equal(again.ProgramID, first.ID)
		_, err = c.tryOpen(spec("more", 100))
		checkRefused(c, err, fault.BudgetExceeded)
		_, err = atOwner(c, func(n *node) (port.ProgramView, error) { return n.End(context.Background(), first.ID) })
		c.is.NoErr(err)
		time.Sleep(appendTime) // until the other host has applied the end
		_, err = c.tryOpen(spec("more", 100))
		c.is.NoErr(err)
	})
}

func (c *cluster) anyOpen() *ledger.Program {
	var found *ledger.Program
	for _, p := range c.nodes[0].layout.Load().partitions {
		p.mu.Lock()
		p.ledger.Programs(func(g *ledger.Program) { found = g })
		p.mu.Unlock()
	}
	return found
}
