package owner

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// TestLostAnswerOfPost loses the answer of a non-idempotent call that ran. If the
// target can report the outcome, the answer is returned; otherwise the outcome is
// unknown and the call is not run again.
func TestLostAnswerOfPost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		c.runs.LoseAnswers("post", 1)
		c.runs.LoseAnswers("mute", 1)
		_, err := c.call(postCall(v.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		mute := postCall(v.ProgramID, 2, "quiet")
		mute.Service = "mute"
		for range 2 {
			_, err = c.call(mute)
			f, ok := fault.As(err)
			c.is.True(ok)
			c.is.Equal(f.Type, fault.OutcomeUnknown)
			c.is.Equal(f.Run, fault.Unknown)
		}
		_, err = c.call(postCall(v.ProgramID, 3, "next"))
		c.is.NoErr(err)
		c.is.Equal(c.runs.Of("mute"), map[string]int{"quiet": 1})
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1, "next": 1})
		c.is.Equal(c.history(v.ProgramID)[1].Failure, string(fault.OutcomeUnknown))
	})
}

// TestPostRunsAfterOwnerDied has a call run at its target after the owner has died.
// The next owner gets its answer from the target.
func TestPostRunsAfterOwnerDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		call := postCall(v.ProgramID, 1, "pay")
		call.Service = "late"
		owner := c.owner(v.ProgramID)
		go func() { _, _ = owner.Call(context.Background(), call, nil) }()
		time.Sleep(200 * time.Millisecond)
		go c.kill(owner) // returns only after the dispatch has returned
		c.markDead(owner)
		others := &cluster{t: t, is: c.is, nodes: without(c.nodes, owner)}
		_, err := others.call(call)
		c.is.NoErr(err)
		time.Sleep(10 * time.Second)
		c.is.Equal(c.runs.Of("late"), map[string]int{"pay": 1})
	})
}

// TestAnswersOfOtherRequests returns answers of other requests to the owner. It must
// not pass them to its callers.
func TestAnswersOfOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		answerWrongly := func() { c.nodes[0].gate.set(func(g *gate) { g.wrongAnswers = 1 }) }
		answerWrongly()
		posted, err := c.call(postCall(v.ProgramID, 1, "pay"))
		c.is.NoErr(err)
		c.is.Equal(posted.RequestID, "pay")
		c.is.True(!strings.Contains(string(posted.Output), wrongOutput))
		answerWrongly()
		answer, err := c.call(modelCall(v.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		c.is.Equal(answer.RequestID, "r2")
		c.is.Equal(c.runs.Of("post"), map[string]int{"pay": 1})
		// The tokens of the discarded answer are charged too.
		c.is.True(c.view(v.ProgramID).SpentTokens >= c.spentAtEngines(v.ProgramID))
		c.is.True(answer.Usage.PromptTokens+answer.Usage.OutputTokens < c.spentAtEngines(v.ProgramID))
	})
}

// TestRefusalAfterDispatch checks that a refusal of the second attempt of a call whose
// first attempt ran is not reported as not run.
func TestRefusalAfterDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 80)
		c.nodes[0].gate.set(func(g *gate) { g.wrongAnswers = 1 })
		_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		f, ok := fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Type, fault.BudgetExceeded)
		c.is.Equal(f.Run, fault.Unknown)
		at := c.view(v.ProgramID)
		c.is.True(at.SpentTokens+at.ReservedTokens >= c.spentAtEngines(v.ProgramID))
		time.Sleep(2 * appendTime) // the charge's record
		c.is.True(c.view(v.ProgramID).SpentTokens >= c.spentAtEngines(v.ProgramID))
	})
}

// TestRefusalAfterEarlierAttempt repeats a call that was dispatched and failed, at the
// same owner and at the next one. Neither may refuse it as not run.
func TestRefusalAfterEarlierAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 80)
		owner := c.owner(v.ProgramID)
		owner.gate.set(func(g *gate) { g.wrongAnswers = 1 })
		for range 2 {
			_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
			c.is.Equal(fault.Of(err).Type, fault.BudgetExceeded)
			c.is.Equal(fault.Of(err).Run, fault.Unknown)
		}
		for seq, run := range map[int64]fault.Run{1: fault.Unknown, 2: fault.NotRun} {
			_, _, err := owner.Answer(context.Background(), v.ProgramID, seq)
			c.is.Equal(fault.Of(err).Type, fault.UnknownCall)
			c.is.Equal(fault.Of(err).Run, run)
		}
		time.Sleep(time.Second)
		c.kill(owner)
		time.Sleep(3 * time.Second)
		_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.Equal(fault.Of(err).Type, fault.BudgetExceeded)
		c.is.Equal(fault.Of(err).Run, fault.Unknown)
		_, err = c.call(postCall(v.ProgramID, 1, "pay")) // a non-idempotent call: without an intent it was not dispatched
		c.is.NoErr(err)
	})
}

// TestFailedCallAnsweredDuringLogOutage checks that the caller of a failed call does
// not wait for the record of its cost.
func TestFailedCallAnsweredDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		c.log.Down(time.Minute)
		c.nodes[0].gate.set(func(g *gate) { g.wrongAnswers = 100 })
		began := time.Now()
		_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.Equal(fault.Of(err).Type, fault.TargetFailed)
		c.is.Equal(fault.Of(err).Run, fault.Unknown)
		c.is.True(time.Since(began) < 5*time.Second)
	})
}

// TestSecondAttemptOutputDiffers passes deltas of a second attempt that differ from
// the output that a caller has received.
func TestSecondAttemptOutputDiffers(t *testing.T) {
	is := is.New(t)
	r := &running{changed: make(chan struct{})}
	is.NoErr(r.appendOutput(port.Delta{Offset: 0, Text: "one two"}))
	is.NoErr(r.appendOutput(port.Delta{Offset: 0, Text: "one t"}))
	is.NoErr(r.appendOutput(port.Delta{Offset: 4, Text: "two three"}))
	text, _ := r.outputFrom(0)
	is.Equal(text, "one two three")
	_, broken := r.appendOutput(port.Delta{Offset: 4, Text: "five"}).(*OutputError)
	is.True(broken) // a caller has received that output
	_, broken = r.appendOutput(port.Delta{Offset: 20, Text: "gap"}).(*OutputError)
	is.True(broken)
	text, _ = r.outputFrom(0)
	is.Equal(text, "one two three")
}

// TestNextOwnerCompletesEviction ends a program whose owner dies before an engine has
// evicted its KV cache.
func TestNextOwnerCompletesEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		_, err := c.call(modelCall(v.ProgramID, 1, "r1"))
		c.is.NoErr(err)
		owner := c.owner(v.ProgramID)
		owner.gate.set(func(g *gate) { g.failEvictions = true })
		_, err = owner.End(context.Background(), v.ProgramID)
		c.is.NoErr(err)
		time.Sleep(time.Second)
		c.kill(owner)
		time.Sleep(5 * time.Second)
		c.checkNoKV(v.ProgramID)
	})
}

// TestAttemptTimeout has targets hang until the configured timeout of an attempt. An
// idempotent call is retried; a non-idempotent one gets a recorded outcome. It also
// checks the limits on a model call's tokens.
func TestAttemptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, func(d *config.Document) {
			for i := range d.Services {
				d.Services[i].TimeoutMS = 1000
			}
			d.Models[0].MaxOutputTokens = 100
			d.Models[0].ContextTokens = 200
		})
		defer c.stop()
		v := c.open("open", 5000)
		began := time.Now()
		c.runs.Hang("read", 1, 0)
		read := postCall(v.ProgramID, 1, "read")
		read.Service, read.Idempotent = "read", true
		_, err := c.call(read)
		c.is.NoErr(err)
		c.runs.Hang("post", 1, 0)
		_, err = c.call(postCall(v.ProgramID, 2, "pay"))
		f, ok := fault.As(err)
		c.is.True(ok)
		c.is.Equal(f.Run, fault.Unknown)
		c.is.True(time.Since(began) < 5*time.Second)
		c.is.Equal(len(c.runs.Of("post")), 0)

		large := modelCall(v.ProgramID, 3, "large")
		large.MaxTokens = 101
		_, err = c.call(large)
		checkRefused(c, err, fault.InvalidRequest)
		large.MaxTokens = 100
		large.Input = []byte(`"` + strings.Repeat("long ", 100) + `"`)
		_, err = c.call(large)
		checkRefused(c, err, fault.InvalidRequest)
		_, err = c.call(modelCall(v.ProgramID, 3, "small"))
		c.is.NoErr(err)
	})
}

// resultRecorder records the results reported to a scheduler.
type resultRecorder struct {
	port.Scheduler
	mu      sync.Mutex
	results []port.Result
}

type recordedGrant struct {
	port.Grant
	r *resultRecorder
}

func (r *resultRecorder) Acquire(ctx context.Context, w port.Work) (port.Grant, error) {
	g, err := r.Scheduler.Acquire(ctx, w)
	return &recordedGrant{Grant: g, r: r}, err
}

func (g *recordedGrant) Done(result port.Result) {
	g.r.mu.Lock()
	g.r.results = append(g.r.results, result)
	g.r.mu.Unlock()
	g.Grant.Done(result)
}

// TestEngineCrashDuringStream crashes an engine during a stream. The engine refuses the
// request to resume, but the scheduler must get the interruption as the result, not
// the refusal.
func TestEngineCrashDuringStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		r := &resultRecorder{Scheduler: c.nodes[0].params.Scheduler}
		c.nodes[0].params.Scheduler = r
		call := modelCall(v.ProgramID, 1, "r1")
		call.Model = "slow"
		var once sync.Once
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, _ = c.nodes[0].Call(ctx, call, func(port.Delta) error {
			once.Do(func() { c.fleet.Engine("slow").Crash() })
			return nil
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		c.is.True(len(r.results) > 0)
		c.is.True(r.results[0].Err != nil)
		c.is.Equal(r.results[0].Err.Failure, port.FailureBroken)
	})
}
