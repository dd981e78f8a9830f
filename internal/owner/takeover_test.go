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

// takeoverBound is the time from a death to the first served call.
const takeoverBound = 5 * time.Second

// moment is when an owner dies.
type moment struct {
	name string
	// arm makes the node die when its call reaches the moment.
	arm func(c *cluster, n *node, die func())
	// left says that the dispatch has left by then, clear that no intent
	// stands, so that nothing is in doubt.
	left, clear bool
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

// writeThenDie lets the log take an append whose sender dies.
func writeThenDie(c *cluster, want func(*record.Record) bool, die func()) func([]*record.Record) {
	return func(records []*record.Record) {
		if !has(records, want) {
			return
		}
		_, err := c.log.Append(context.Background(), testStream, encodeAll(records))
		c.is.NoErr(err)
		die()
	}
}

func moments() []moment {
	return []moment{
		{name: "before the intent", clear: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) {
				g.onAppend = func(r []*record.Record) {
					if has(r, isIntent) {
						die()
					}
				}
			})
		}},
		{name: "after the intent", arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onAppend = writeThenDie(c, isIntent, die) })
		}},
		{name: "before the dispatch", arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onInvoke = func(port.ServiceCall) { die() } })
		}},
		{name: "after the dispatch", left: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.afterInvoke = func(port.ServiceCall) { die() } })
		}},
		{name: "after the outcome", left: true, arm: func(c *cluster, n *node, die func()) {
			n.gate.set(func(g *gate) { g.onAppend = writeThenDie(c, isTurn, die) })
		}},
	}
}

// TestOwnerDiesDuringPosting kills the owner at each moment of a call that
// must not be repeated; its caller then sends it again elsewhere.
func TestOwnerDiesDuringPosting(t *testing.T) {
	for _, m := range moments() {
		for _, service := range []string{"post", "mute"} {
			t.Run(m.name+", "+service, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { dieDuringPosting(t, m, service) })
			})
		}
	}
}

func dieDuringPosting(t *testing.T, m moment, service string) {
	c := newCluster(t, 3, standin.LogOptions{}, nil)
	defer c.stop()
	v := c.open("open", 5000)
	owner := c.owner(v.ProgramID)
	died := make(chan time.Time, 1)
	var once sync.Once
	m.arm(c, owner, func() {
		owner.gate.sever()
		once.Do(func() { died <- time.Now() })
	})
	call := posting(v.ProgramID, 1, "pay")
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
		c.is.True(!m.clear)
		c.is.True(service == "mute" || runs == 0) // a target that ran it and can say so settles it
		c.is.True(runs <= 1)
	}
	if m.left {
		c.is.Equal(runs, 1)
	}
	// The same answer for ever, and the program goes on.
	again, errAgain := c.call(call)
	c.is.Equal(answer, again)
	c.is.Equal(err == nil, errAgain == nil)
	_, err = c.call(posting(v.ProgramID, 2, "next"))
	c.is.NoErr(err)
	c.is.Equal(c.runs.Of(service)["pay"], runs)
}

// TestOwnerDiesBeforeTheAnswerIsDelivered kills the owner with a whole model
// answer recorded; the next owner gives the same one and pays nothing.
func TestOwnerDiesBeforeTheAnswerIsDelivered(t *testing.T) {
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

// TestPausedOwnerWakes pauses the owner at a moment, past its takeover, and
// wakes it: nothing runs twice, and what it still sends is void.
func TestPausedOwnerWakes(t *testing.T) {
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
			synctest.Test(t, func(t *testing.T) { pauseDuringPosting(t, arm) })
		})
	}
}

func pauseDuringPosting(t *testing.T, arm func(*node, func())) {
	c := newCluster(t, 3, standin.LogOptions{}, nil)
	defer c.stop()
	v := c.open("open", 5000)
	owner := c.owner(v.ProgramID)
	paused := make(chan struct{}, 10)
	owner.gate.set(func(*gate) {
		arm(owner, func() {
			owner.gate.hold()
			paused <- struct{}{}
		})
	})
	result := make(chan error, 1)
	go func() {
		_, err := owner.Call(context.Background(), posting(v.ProgramID, 1, "pay"), nil)
		result <- err
	}()
	<-paused
	c.bury(owner)
	others := &cluster{t: t, is: c.is, nodes: without(c.nodes, owner)}
	answer, err := others.call(posting(v.ProgramID, 1, "pay"))
	runs := c.runs.Of("post")["pay"]
	if err != nil {
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
	}
	c.is.Equal(runs == 1, err == nil) // the target can say that it ran

	owner.gate.set(func(g *gate) { g.onInvoke, g.afterInvoke, g.onAppend = nil, nil, nil })
	owner.gate.open()
	if err := <-result; err != nil {
		_, moved := err.(*port.NotOwnerError)
		f, _ := fault.As(err)
		c.is.True(moved || f.Run != fault.NotRun)
	}
	time.Sleep(10 * time.Second)
	c.is.Equal(c.runs.Of("post")["pay"], runs)
	again, errAgain := others.call(posting(v.ProgramID, 1, "pay"))
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

// TestBytesOfALostOwnerArriveLate: the connection of a lost owner is cut with
// the posting on it, and delivers it long after the next owner has asked the
// target, which knew nothing of it then.
func TestBytesOfALostOwnerArriveLate(t *testing.T) {
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
				g.sever()
				close(lost)
			}
		})
		go func() { _, _ = owner.Call(context.Background(), posting(v.ProgramID, 1, "pay"), nil) }()
		<-lost
		c.kill(owner)
		_, err := c.call(posting(v.ProgramID, 1, "pay"))
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
		c.is.Equal(fault.Of(err).Run, fault.Unknown)
		late.Wait()
		_, err = c.call(posting(v.ProgramID, 1, "pay"))
		c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
		c.is.Equal(c.runs.Of("post")["pay"], 1)
	})
}
