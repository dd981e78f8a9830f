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

// TestTwoOwnersBelieve cuts the owner off from the log alone. Callers reach
// both it and its successor.
func TestTwoOwnersBelieve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 1000)
		child := c.openChildren(v.ProgramID, 1)[0]
		old := c.owner(v.ProgramID)
		old.gate.set(func(g *gate) { g.cut = true })
		c.bury(old)
		others := &cluster{t: t, is: c.is, nodes: without(c.nodes, old)}

		results := make(chan error, 2)
		for _, call := range []port.Call{modelCall(v.ProgramID, 1, "r1"), posting(v.ProgramID, 1, "pay")} {
			go func() {
				_, err := old.Call(context.Background(), call, nil)
				results <- err
			}()
			time.Sleep(time.Millisecond)
		}
		first, err := others.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		_, err = others.call(posting(v.ProgramID, 2, "pay"))
		c.is.NoErr(err)
		time.Sleep(30 * time.Second)
		// The old owner starts nothing any more: its escrow is not its own.
		_, err = old.Call(context.Background(), modelCall(child, 1, "late"), nil)
		refusedAs(c, err, fault.LogUnavailable)
		c.is.Equal(c.spentAtEngines(child), int64(0))

		old.gate.set(func(g *gate) { g.cut = false })
		handed := 0
		for range 2 {
			err := <-results
			c.is.True(err != nil) // nothing that the old owner did counts
			if moved, ok := err.(*port.NotOwnerError); ok && moved.MayHaveRun {
				handed++
			}
		}
		c.is.Equal(handed, 1) // the model call had left
		time.Sleep(time.Second)
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
		c.sameEverywhere(v.ProgramID)
		again, err := others.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		c.is.Equal(first, again)
		c.is.True(c.spentAtEngines(v.ProgramID) <= 1000)
	})
}

// spentAtEngines sums up what the engines account to a program.
func (c *cluster) spentAtEngines(id string) int64 {
	var sum int64
	for _, name := range c.fleet.EngineNames() {
		usage, _, err := c.fleet.Engine(name).ProgramUsage(context.Background(), id)
		c.is.NoErr(err)
		for _, u := range usage {
			sum += u.PromptTokens + u.OutputTokens
		}
	}
	return sum
}

// sameEverywhere checks that all live nodes have replayed the same history.
func (c *cluster) sameEverywhere(id string) {
	c.t.Helper()
	digests := make(map[string]bool)
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		for _, p := range n.layout.Load().parts {
			p.mu.Lock()
			if g := p.l.Program(id); g != nil {
				digests[fmt.Sprintf("%d %x %d", g.NextSeq(), g.Digest, p.l.Epoch)] = true
			}
			p.mu.Unlock()
		}
	}
	c.is.Equal(len(digests), 1)
}

// TestAmbiguousAppends loses answers of appends that took effect, repeats
// batches, lets them arrive late, and mangles reads.
func TestAmbiguousAppends(t *testing.T) {
	faults := map[string]func(*cluster, *node){
		"lost answers": func(c *cluster, _ *node) { c.log.LostAck(1000) },
		"each twice":   func(_ *cluster, n *node) { n.gate.twice = true },
		"late effect":  func(_ *cluster, n *node) { n.gate.orphan = 300 * time.Millisecond },
		"reads repeat and skip": func(_ *cluster, n *node) {
			reads := 0
			n.gate.mangle = func(page port.Page) port.Page {
				reads++
				if len(page.Records) > 1 && reads%2 == 0 {
					page.Records = page.Records[1:]
				}
				if len(page.Records) > 0 && reads%3 == 0 {
					page.Records = append(page.Records[:1:1], page.Records...)
				}
				return page
			}
		},
	}
	for name, arm := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, standin.LogOptions{}, nil)
				defer c.stop()
				var ids []string
				for i := range 6 {
					ids = append(ids, c.open(fmt.Sprint("open", i), 5000).ProgramID)
				}
				for _, n := range c.nodes {
					n.gate.set(func(*gate) { arm(c, n) })
				}
				done := make(chan struct{}, len(ids))
				for _, id := range ids {
					go func() {
						c.fewCalls(id)
						done <- struct{}{}
					}()
				}
				for range ids {
					<-done
				}
				time.Sleep(10 * time.Second)
				c.is.Equal(len(c.runs.Of("post")), 3*len(ids))
				for _, runs := range c.runs.Of("post") {
					c.is.Equal(runs, 1)
				}
				for _, id := range ids {
					c.is.Equal(len(c.history(id)), 4)
					c.sameEverywhere(id)
				}
			})
		})
	}
}

// fewCalls makes three postings and a model call.
func (c *cluster) fewCalls(id string) {
	for seq := int64(1); seq <= 3; seq++ {
		_, err := c.untilSettled(posting(id, seq, fmt.Sprint(id, "/", seq)))
		c.is.NoErr(err)
	}
	_, err := c.untilSettled(modelCall(id, 4, "r4"))
	c.is.NoErr(err)
}

// untilSettled sends a call again while it is refused as not run.
func (c *cluster) untilSettled(call port.Call) (port.Answer, error) {
	for range 20 {
		answer, err := c.call(call)
		f, refused := fault.As(err)
		c.is.True(!refused || f.Type != fault.Internal)
		if !refused || (f.Run != fault.NotRun && f.Type != fault.Timeout) {
			return answer, err
		}
		time.Sleep(f.RetryAfter)
	}
	return c.call(call)
}

// TestLogOutage takes the log away for an hour. Postings are refused as not
// run, model turns are not answered before they are recorded, and when the
// log returns all queued callers are served and nothing refused has run.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		var ids []string
		for i := range 20 {
			ids = append(ids, c.open(fmt.Sprint("open", i), 5000).ProgramID)
		}
		c.log.Down(time.Hour)
		began := time.Now()
		// The target can't say later whether the call ran.
		first := posting(ids[0], 1, "pay0")
		first.Service = "mute"
		_, err := c.call(first)
		f, ok := fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Type, fault.LogUnavailable)
		c.is.Equal(f.Run, fault.NotRun)
		c.is.True(time.Since(began) < 10*time.Second)
		model := modelCall(ids[1], 1, "m1")
		model.Timeout = 5 * time.Second
		_, err = c.call(model)
		f, ok = fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Run, fault.Ran)
		c.is.Equal(f.Type, fault.Timeout)
		time.Sleep(time.Hour - 20*time.Second)
		c.is.Equal(len(c.runs.Of("post")), 0)
		c.is.Equal(len(c.runs.Of("mute")), 0)

		results := make(chan error, len(ids))
		go func() {
			_, err := c.untilSettled(first) // refused as not run, it may run now
			results <- err
		}()
		for i, id := range ids[2:] {
			go func() {
				_, err := c.untilSettled(posting(id, 1, fmt.Sprint("queued", i)))
				results <- err
			}()
		}
		for range ids[1:] {
			c.is.NoErr(<-results)
		}
		// The held turn is there without a second run.
		spent := c.spentAtEngines(ids[1])
		_, err = c.call(modelCall(ids[1], 1, "m1"))
		c.is.NoErr(err)
		c.is.Equal(c.spentAtEngines(ids[1]), spent)
		c.is.Equal(c.runs.Of("mute"), map[string]int{"pay0": 1})
		for _, runs := range c.runs.Of("post") {
			c.is.Equal(runs, 1)
		}
		c.is.Equal(len(c.runs.Of("post")), len(ids)-2)
	})
}

// TestSlowAndLimitedLog makes each append take seconds for ten minutes, then
// allows few of them.
func TestSlowAndLimitedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{RatePerSecond: 4}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		c.log.Slow(10*time.Minute, 3*time.Second)
		_, err := c.call(posting(v.ProgramID, 1, "slow"))
		f, ok := fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Run, fault.NotRun)
		c.is.Equal(len(c.runs.Of("post")), 0)
		time.Sleep(11 * time.Minute)
		c.is.Equal(len(c.runs.Of("post")), 0)
		results := make(chan error, 30)
		for i := range cap(results) {
			p := c.open(fmt.Sprint("more", i), 5000)
			go func() {
				_, err := c.untilSettled(posting(p.ProgramID, 1, fmt.Sprint("pay", i)))
				results <- err
			}()
		}
		for range cap(results) {
			c.is.NoErr(<-results)
		}
		_, err = c.untilSettled(posting(v.ProgramID, 1, "slow"))
		c.is.NoErr(err)
		for _, runs := range c.runs.Of("post") {
			c.is.Equal(runs, 1)
		}
	})
}

// TestAnswerSurvivesOwnerAndLog hands a whole answer out, then takes the
// owner and the log away together.
func TestAnswerSurvivesOwnerAndLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		owner := c.owner(v.ProgramID)
		answer, err := owner.Call(context.Background(), modelCall(v.ProgramID, 1, "r1"), nil)
		c.is.NoErr(err)
		c.log.Down(10 * time.Minute)
		c.kill(owner)
		time.Sleep(11 * time.Minute)
		back := c.add(owner.self.Host, 2)
		c.is.NoErr(back.Start(context.Background()))
		again, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		c.is.Equal(answer, again)
		next, err := c.call(modelCall(v.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		c.is.True(next.Usage.PromptTokens > answer.Usage.PromptTokens)
	})
}

// TestRepeatAtAHostWithoutTheState sends a posting that has run again to hosts
// that can't own its partition while the log is down.
func TestRepeatAtAHostWithoutTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		_, err := c.call(posting(v.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		owner := c.owner(v.ProgramID)
		reader := without(c.nodes, owner)[0]
		c.is.NoErr(owner.Release(context.Background()))
		time.Sleep(2 * time.Millisecond) // the reader sees it and claims
		c.log.Down(time.Minute)
		c.bury(owner)
		late := c.add("late", 1)
		late.members.set(owner.self.Host, 1, port.MemberDead)
		late.members.set(reader.self.Host, 1, port.MemberDead)
		c.is.NoErr(late.Start(context.Background()))
		for _, n := range []*node{reader, late} {
			_, err = n.Call(context.Background(), posting(v.ProgramID, 1, "pay"), nil)
			if f, refused := fault.As(err); refused {
				c.is.Equal(f.Type, fault.LogUnavailable)
				c.is.True(f.Run != fault.NotRun)
			}
		}
		_, refused := fault.As(err)
		c.is.True(refused) // the late host knows nothing
	})
}
