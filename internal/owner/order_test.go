package owner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

func checkRefused(c *cluster, err error, want fault.Type) {
	c.t.Helper()
	f, ok := fault.As(err)
	c.is.True(ok)
	c.is.Equal(f.Type, want)
	c.is.Equal(f.Run, fault.NotRun)
}

// TestRepeatedRequest repeats a request while it runs, after it has run, after its
// program has ended, and with another body.
func TestRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		call := postCall(v.ProgramID, 1, "pay")
		answers := make(chan port.Answer, 5)
		for range cap(answers) {
			go func() {
				answer, err := c.call(call)
				c.is.NoErr(err)
				answers <- answer
			}()
			time.Sleep(5 * time.Millisecond)
		}
		first := <-answers
		for range cap(answers) - 1 {
			c.is.Equal(<-answers, first)
		}
		_, err := atOwner(c, func(n *node) (port.ProgramView, error) { return n.End(context.Background(), v.ProgramID) })
		c.is.NoErr(err)
		again, err := c.call(call)
		c.is.NoErr(err)
		c.is.Equal(again, first)
		other := call
		other.Input = json.RawMessage(`{"to":"another"}`)
		_, err = c.call(other)
		checkRefused(c, err, fault.SeqConflict)
		_, err = c.call(postCall(v.ProgramID, 1, "other"))
		checkRefused(c, err, fault.SeqConflict)
		_, err = c.call(postCall(v.ProgramID, 2, "new"))
		checkRefused(c, err, fault.ProgramStopped)
		body := spec("open", 6000)
		_, err = c.tryOpen(body)
		checkRefused(c, err, fault.SeqConflict)
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
	})
}

// TestStreamsOfRepeatedRequest checks that all callers of one model call receive its
// output from the first byte.
func TestStreamsOfRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		outputs := make(chan string, 3)
		for range cap(outputs) {
			go func() {
				var streamed string
				answer, err := c.nodes[0].Call(context.Background(), modelCall(v.ProgramID, 1, "r1"), func(d port.Delta) error {
					streamed += d.Text
					return nil
				})
				c.is.NoErr(err)
				c.is.Equal(text(answer.Output), streamed)
				outputs <- streamed
			}()
			time.Sleep(5 * time.Millisecond)
		}
		first := <-outputs
		c.is.True(first != "")
		for range cap(outputs) - 1 {
			c.is.Equal(<-outputs, first)
		}
		c.is.Equal(c.spentAtEngines(v.ProgramID), c.view(v.ProgramID).SpentTokens)
	})
}

// TestSeqOrder sends calls in reverse order, too far ahead, and without their
// predecessor.
func TestSeqOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		results := make(chan error, 3)
		for seq := int64(3); seq >= 1; seq-- {
			go func() {
				_, err := c.call(postCall(v.ProgramID, seq, string(rune('a'+seq))))
				results <- err
			}()
			time.Sleep(100 * time.Millisecond)
		}
		for range cap(results) {
			c.is.NoErr(<-results)
		}
		turns := c.history(v.ProgramID)
		c.is.Equal(len(turns), 3)
		for i, turn := range turns {
			c.is.Equal(turn.Seq, int64(i+1))
		}
		_, err := c.call(postCall(v.ProgramID, 4+defaultEarlyCalls+1, "far"))
		checkRefused(c, err, fault.SeqConflict)
		early := postCall(v.ProgramID, 6, "early")
		early.Timeout = 2 * time.Second
		_, err = c.call(early)
		checkRefused(c, err, fault.Timeout)
		_, err = c.call(postCall("nosuch.program", 1, "x"))
		checkRefused(c, err, fault.UnknownProgram)
		c.is.Equal(len(c.runs.Of("post")), 3)
	})
}

// TestCallerDisconnects checks that a model call is cancelled when its last caller
// disconnects, and that a non-idempotent call that was dispatched is not.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		hangUp := func(call port.Call, after time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			_, err := c.nodes[0].Call(ctx, call, nil)
			c.is.True(err != nil)
			time.Sleep(time.Second)
		}
		hangUp(modelCall(v.ProgramID, 1, "r1"), 5*time.Millisecond)
		// It is not reported as a failure of the target.
		results := c.nodes[0].results.list()
		c.is.Equal(len(results), 1)
		c.is.True(results[0].Inconclusive)
		c.is.Equal(c.view(v.ProgramID).NextSeq, int64(1))
		for _, name := range c.fleet.EngineNames() {
			c.is.Equal(c.fleet.Engine(name).Now().Running, 0)
		}
		left := make(chan struct{})
		c.nodes[0].gate.set(func(g *gate) { g.onInvoke = func(port.ServiceCall) { close(left) } })
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-left
			cancel()
		}()
		_, err := c.nodes[0].Call(ctx, postCall(v.ProgramID, 1, "pay"), nil)
		c.is.True(err != nil)
		time.Sleep(time.Second)
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
		c.is.Equal(c.view(v.ProgramID).NextSeq, int64(2))
	})
}
