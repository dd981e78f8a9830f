package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// TestAppendsPerHost checks that a host's appends stay under their limit, which does
// not depend on the load, at 1 to 1000 non-idempotent calls per second.
func TestAppendsPerHost(t *testing.T) {
	const span = 10 * time.Second
	for _, perSecond := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, standin.LogOptions{}, nil)
				defer c.stop()
				var ids []string
				for i := range perSecond {
					ids = append(ids, c.open(fmt.Sprint("open", i), 5000).ProgramID)
				}
				time.Sleep(5 * time.Second)
				link := c.nodes[0].gate
				link.set(func(g *gate) { g.appends, g.bytes = 0, 0 })
				served := c.load(ids, span)
				var appends int
				link.set(func(g *gate) { appends = g.appends })
				bound := DefaultAppendsPerSecond*int(span/time.Second+2) + defaultAppendBurst
				t.Logf("offered %d/s, served %d, appends %d in %v, bound %d", perSecond, served, appends, span, bound)
				c.is.True(appends <= bound)
				c.is.True(appends <= 2*served+bound/10) // an idle host appends no more than it must
				c.is.True(served >= perSecond*int(span/time.Second)/2)
			})
		})
	}
}

// load sends one non-idempotent call per second for each program, evenly spread, and
// returns the number of calls served.
func (c *cluster) load(ids []string, span time.Duration) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i, id := range ids {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(len(ids)))
			end := time.Now().Add(span)
			for seq := int64(1); time.Now().Before(end); seq++ {
				next := time.Now().Add(time.Second)
				_, err := c.call(postCall(id, seq, fmt.Sprint(id, seq)))
				c.is.NoErr(err)
				mu.Lock()
				served++
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
	return served
}

// TestAppendsPerCall bounds the time that the log adds to a non-idempotent call and
// to a model call, in units of the log's append time.
func TestAppendsPerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		time.Sleep(time.Second)
		began := time.Now()
		_, err := c.call(postCall(v.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		added := time.Since(began) - 20*time.Millisecond // the service's own time
		t.Logf("posting: %.1f appends", float64(added)/float64(appendTime))
		c.is.True(added <= 2*appendTime)

		time.Sleep(time.Second)
		began = time.Now()
		var first, last time.Duration
		_, err = c.nodes[0].Call(context.Background(), modelCall(v.ProgramID, 2, "r2"), func(port.Delta) error {
			if first == 0 {
				first = time.Since(began)
			}
			last = time.Since(began)
			return nil
		})
		c.is.NoErr(err)
		total := time.Since(began)
		t.Logf("model: first token after %v, answer %.1f appends after the last", first, float64(total-last)/float64(appendTime))
		c.is.True(first <= 4*time.Millisecond) // one delta of four tokens
		c.is.True(total-last <= appendTime)
	})
}

// TestBytesPerTurn bounds the bytes that a turn appends beyond its input and output.
func TestBytesPerTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 1<<20)
		link := c.nodes[0].gate
		for i, size := range []int{0, 1000, 10000} {
			link.set(func(g *gate) { g.bytes = 0 })
			call := modelCall(v.ProgramID, int64(i+1), fmt.Sprint("r", i))
			call.Input, _ = json.Marshal(strings.Repeat("x", size))
			answer, err := c.call(call)
			c.is.NoErr(err)
			own := len(call.Input) + len(answer.Output)
			var appended int
			link.set(func(g *gate) { appended = g.bytes })
			t.Logf("turn of %d bytes appends %d", own, appended)
			c.is.True(appended-own < 400)
		}
	})
}

// TestTakeoverTime bounds the time from an owner's death, detected after 1 s, to the
// first served call.
func TestTakeoverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, standin.LogOptions{}, nil)
		defer c.stop()
		model, doubt := c.open("model", 5000), c.open("doubt", 5000)
		for _, v := range []port.ProgramView{model, doubt} {
			owner := c.owner(v.ProgramID)
			if v.ProgramID == doubt.ProgramID {
				owner.gate.set(func(g *gate) { g.onInvoke = func(port.ServiceCall) { g.disconnect() } })
				go func() { _, _ = owner.Call(context.Background(), postCall(v.ProgramID, 1, "pay"), nil) }()
				time.Sleep(100 * time.Millisecond)
			}
			death := time.Now()
			c.kill(owner)
			call := modelCall(v.ProgramID, 1, "r1")
			if v.ProgramID == doubt.ProgramID {
				call = postCall(v.ProgramID, 1, "pay")
			}
			_, err := c.call(call)
			if v.ProgramID == doubt.ProgramID {
				c.is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
			} else {
				c.is.NoErr(err)
			}
			t.Logf("first served call %v after the death", time.Since(death))
			c.is.True(time.Since(death) < takeoverBound)
		}
	})
}
