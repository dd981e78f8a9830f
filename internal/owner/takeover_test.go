package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// takeoverBound is the maximum time from an owner's death to the first served call.
const takeoverBound = 5 * time.Second

// crashPoint is a point in a call at which its owner dies.
type crashPoint struct {
	name string
	// arm makes the node die when its call reaches the crash point.
	arm func(c *cluster, n *node, die func())
	// dispatched says that the call was dispatched by then. noIntent says that no
	// intent is in the log, so that nothing is in doubt.
	dispatched, noIntent bool
}

func has(records []*record.Record, want func(*record.Record) bool) bool {
	for _, r := range records {
		if want(r) {
			return true
		}
	}
	return false
}

func isIntent(r *record.Record) bool { return r.GetIntent() != nil }

func isTurn(r *record.Record) bool { return r.GetTurn() != nil }

// appendThenDie returns a hook that appends a batch with a wanted record to the log
// and then calls die.
func appendThenDie(c *cluster, want func(*record.Record) bool, die func()) func([]*record.Record) {
	return func(records []*record.Record) {
		if !has(records, want) {
			return
		}
		_, err := c.log.Append(context.Background(), testStream, encodeAll(records))
		c.is.NoErr(err)
		die()
	}
}

func crashPoints() []crashPoint {
	return []crashPoint{
		{name: "before the intent", noIntent: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) {
				g.onAppend = func(r []*record.Record) {
					if has(r, isIntent) {
						die()
					}
				}
			})
		}},
		{name: "after the intent", arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onAppend = appendThenDie(c, isIntent, die) })
		}},
		{name: "before the dispatch", arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onInvoke = func(port.ServiceCall) { die() } })
		}},
		{name: "after the dispatch", dispatched: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.afterInvoke = func(port.ServiceCall) { die() } })
		}},
		{name: "after the outcome", dispatched: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onAppend = appendThenDie(c, isTurn, die) })
		}},
	}
}

// TestOwnerDiesDuringPost kills the owner at each crash point of a non-idempotent
// call. The caller then sends the call again to another host.
func TestOwnerDiesDuringPost(t *testing.T) {
	for _, m := range crashPoints() {
		for _, service := range []string{"post", "mute"} {
			t.Run(m.name+", "+service, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testOwnerDiesDuringPost(t, m, service) })
			})
		}
	}
}

func testOwnerDiesDuringPost(t *testing.T, m crashPoint, service string) {
	c := newCluster(t, 3, standin.LogOptions{}, nil)
	defer c.stop()
	v := c.open("open", 5000)
	owner := c.owner(v.ProgramID)
	died := make(chan time.Time, 1)
	var once sync.Once
	m.arm(c, owner, func() {
		owner.gate.disconnect()
		once.Do(func() { died <- time.Now() })
	})
	call := postCall(v.ProgramID, 1, "pay")
	call.Service = service
	go func() { _, _ = owner.Call(context.Background(), call, nil) }()
	death := <-died
	c.kill(owner)

	answer, err := c.call(call)
	c.is.True(time.Since(death) < takeoverBound)
	runs := c.runs.Of(service)["pay"]
	if err == nil {
		c.is.Equal(runs, 1)
		c.is.Equal(c.history(v.ProgramID)[0].TurnDigest, answer.TurnDigest)
	} else {
		f, typed := fault.As(err)
		c.is.True(typed)
		c.is.Equal(f.Type, fault.OutcomeUnknown)
		c.is.Equal(f.Run, fault.Unknown)
		c.is.True(!m.noIntent)
		c.is.True(service == "mute" || runs == 0) // a target that ran it and can report that resolves it
		c.is.True(runs <= 1)
	}
	if m.dispatched {
		c.is.Equal(runs, 1)
	}
	// The answer does not change, and the program continues.
	again, errAgain := c.call(call)
	c.is.Equal(answer, again)
	c.is.Equal(err == nil, errAgain == nil)
	_, err = c.call(postCall(v.ProgramID, 2, "next"))
	c.is.NoErr(err)
	c.is.Equal(c.runs.Of(service)["pay"], runs)
}

// TestOwnerDiesAfterModelAnswer kills the owner after a complete model answer was
// recorded. The next owner returns the same answer and charges nothing for it.
func TestOwnerDiesAfterModelAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		owner := c.owner(v.ProgramID)
		first, err := owner.Call(context.Background(), modelCall(v.ProgramID, 1, "r1"), nil)
		c.is.NoErr(err)
		spent := c.view(v.ProgramID).SpentTokens
		c.kill(owner)
		second, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		c.is.Equal(first, second)
		c.is.Equal(c.view(v.ProgramID).SpentTokens, spent)
	})
}

// TestOwnerPausedPastTakeover pauses the owner during a non-idempotent call and
// resumes it after the takeover. Nothing runs twice, and the records that it still
// sends are void.
func TestOwnerPausedPastTakeover(t *testing.T) {
	moments := map[string]func(n *node, pause func()){
		"with an intent in hand": func(n *node, pause func()) {
			n.gate.onInvoke = func(port.ServiceCall) { pause() }
		},
		"with an answer in hand": func(n *node, pause func()) {
			n.gate.afterInvoke = func(port.ServiceCall) { pause() }
		},
		"with a batch on the wire": func(n *node, pause func()) {
			n.gate.onAppend = func(r []*record.Record) {
				if has(r, isTurn) {
					pause()
				}
			}
		},
	}
	for name, arm := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOwnerPausedDuringPost(t, arm) })
		})
	}
}

func testOwnerPausedDuringPost(t *testing.T, arm func(*node, func())) {
	c := newCluster(t, 3, standin.LogOptions{}, nil)
	defer c.stop()
	v := c.open("open", 5000)
	owner := c.owner(v.ProgramID)
	paused := make(chan struct{}, 10)
	owner.gate.set(func(*gate) {
		arm(owner, func() {
			owner.gate.pause()
			paused <- struct{}{}
		})
	})
	result := make(chan error, 1)
	go func() {
		_, err := owner.Call(context.Background(), postCall(v.ProgramID, 1, "pay"), nil)
		result <- err
	}()
	<-paused
	c.markDead(owner)
	others := &cluster{t: t, is: c.is, nodes: without(c.nodes, owner)}
	answer, err := others.call(postCall(v.ProgramID, 1, "pay"))
	runs := c.runs.Of("post")["pay"]
	if err != nil {
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
	}
	c.is.Equal(runs == 1, err == nil) // the target can report that it ran

	owner.gate.set(func(g *gate) { g.onInvoke, g.afterInvoke, g.onAppend = nil, nil, nil })
	owner.gate.resume()
	if err := <-result; err != nil {
		_, moved := err.(*port.NotOwnerError)
		f, _ := fault.As(err)
		c.is.True(moved || f.Run != fault.NotRun)
	}
	time.Sleep(10 * time.Second)
	c.is.Equal(c.runs.Of("post")["pay"], runs)
	again, errAgain := others.call(postCall(v.ProgramID, 1, "pay"))
	c.is.Equal(err == nil, errAgain == nil)
	c.is.Equal(answer, again)
	c.is.Equal(len(others.history(v.ProgramID)), 1)
}

func without(nodes []*node, one *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != one {
			rest = append(rest, n)
		}
	}
	return rest
}

// TestLostOwnersPostArrivesLate delivers a lost owner's non-idempotent call from an
// interrupted connection long after the next owner has asked the target for its
// outcome. The target did not know the call then; it must not run a second time.
func TestLostOwnersPostArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		owner := c.owner(v.ProgramID)
		lost := make(chan struct{})
		var late sync.WaitGroup
		owner.gate.set(func(g *gate) {
			g.onInvoke = func(call port.ServiceCall) {
				late.Go(func() {
					time.Sleep(time.Minute)
					call.SendDeadline = time.Time{} // the bytes were written in time
					_, err := c.fleet.ServiceClient().Invoke(context.Background(), port.Target{Name: "s1"}, call)
					c.is.NoErr(err)
				})
				g.disconnect()
				close(lost)
			}
		})
		go func() { _, _ = owner.Call(context.Background(), postCall(v.ProgramID, 1, "pay"), nil) }()
		<-lost
		c.kill(owner)
		_, err := c.call(postCall(v.ProgramID, 1, "pay"))
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
		c.is.Equal(fault.Of(err).Run, fault.Unknown)
		late.Wait()
		_, err = c.call(postCall(v.ProgramID, 1, "pay"))
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
		c.is.Equal(c.runs.Of("post")["pay"], 1)
	})
}
