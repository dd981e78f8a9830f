package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// step is one fault of a random plan.
type step struct {
	Kind string
	Host int
	// After is the delay after the previous step. For is the fault's duration.
	After, For time.Duration
}

const (
	planHosts    = 3
	planPrograms = 4
	planCalls    = 6
	planBudget   = 1500
	// planRetention is short enough that the log is trimmed several times during a
	// plan.
	planRetention = time.Minute
	// planEnd is the time for recovery after the last fault of a plan.
	planEnd = 2 * time.Minute
)

func drawPlan(t *rapid.T) []step {
	kinds := []string{"kill", "pause", "cut", "log down", "lost answers", "late appends", "slow", "lost posting", "planned stop"}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Host:  rapid.IntRange(0, planHosts-1).Draw(t, "host"),
			After: time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
			For:   time.Duration(rapid.IntRange(1, 12000).Draw(t, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 6).Draw(t, "plan")
}

// planRun is the state of one run of a plan.
type planRun struct {
	*cluster
	mu         sync.Mutex
	starts     uint64
	answers    map[string]port.Answer
	violations []string
}

func (w *planRun) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// currentNode returns the latest process of a host.
func (w *planRun) currentNode(host int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last *node
	for _, n := range w.nodes {
		if n.members.self.ID == fmt.Sprint("h", host) {
			last = n
		}
	}
	return last
}

// liveNodes returns the processes that are not dead.
func (w *planRun) liveNodes() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*node
	for _, n := range w.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

func (w *planRun) replace(n *node) {
	w.mu.Lock()
	again := n.dead
	n.dead = true
	w.mu.Unlock()
	if again {
		return
	}
	n.gate.disconnect()
	_ = n.Stop(context.Background())
	time.Sleep(time.Second)
	w.mu.Lock()
	w.markDead(n)
	w.starts++
	next := w.add(n.members.self.ID, w.starts)
	w.mu.Unlock()
	_ = next.Start(context.Background())
}

func (w *planRun) apply(s step) {
	n := w.currentNode(s.Host)
	switch s.Kind {
	case "kill":
		w.replace(n)
	case "planned stop":
		ctx, cancel := context.WithTimeout(context.Background(), s.For)
		_ = n.Release(ctx)
		cancel()
		w.replace(n)
	case "pause":
		w.withHostDead(n, s.For, func() { n.gate.pause() }, func() { n.gate.resume() })
	case "cut":
		w.withHostDead(n, s.For, func() { n.gate.set(func(g *gate) { g.logUnreachable = true }) }, func() { n.gate.set(func(g *gate) { g.logUnreachable = false }) })
	case "late appends":
		n.gate.set(func(g *gate) { g.lateAppendDelay = 300 * time.Millisecond })
		time.Sleep(s.For)
		n.gate.set(func(g *gate) { g.lateAppendDelay = 0 })
	case "log down":
		w.log.Down(s.For)
	case "slow":
		w.log.Slow(s.For, time.Second)
	case "lost answers":
		w.log.LostAck(10)
	case "lost posting":
		w.runs.LoseAnswers("post", 1)
		w.runs.LoseAnswers("mute", 1)
	}
}

// withHostDead applies a fault to a host for d. The other hosts see it as dead from
// 1 s after the start to the end of the fault.
func (w *planRun) withHostDead(n *node, d time.Duration, start, stop func()) {
	start()
	others := func(state port.MemberState) {
		for _, other := range w.liveNodes() {
			if other != n {
				other.members.set(n.members.self.ID, n.members.self.Incarnation, state)
			}
		}
	}
	if d > time.Second {
		time.Sleep(time.Second)
		others(port.MemberDead)
		d -= time.Second
	}
	time.Sleep(d)
	stop()
	if !n.dead {
		others(port.MemberAlive)
	}
}

// send sends a request to the hosts in turn until its outcome is known.
func (w *planRun) send(call port.Call) (port.Answer, error) {
	var err error
	for try := 0; try < 400; try++ {
		nodes := w.liveNodes()
		if len(nodes) == 0 {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		n := nodes[try%len(nodes)]
		var answer port.Answer
		answer, err = n.Call(context.Background(), call, nil)
		if err == nil {
			return answer, nil
		}
		if f, ok := fault.As(err); ok && f.Run == fault.NotRun && !n.gate.isLogUnreachable() && w.runs.Of(call.Service)[call.RequestID] > 0 {
			w.fail("%s ran and was refused as not run: %v", call.RequestID, err)
		}
		if f, ok := fault.As(err); ok && (f.Type == fault.OutcomeUnknown || f.Type == fault.BudgetExceeded || f.Type == fault.SeqConflict) {
			return answer, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	return port.Answer{}, err
}

// caller makes the calls of one program.
func (w *planRun) caller(id string, index int) {
	for seq := int64(1); seq <= planCalls; seq++ {
		request := fmt.Sprint("p", index, "/", seq)
		call := postCall(id, seq, request)
		switch seq % 3 {
		case 1:
			call = modelCall(id, seq, request)
		case 2:
			call.Service = "mute"
		}
		call.Timeout = 20 * time.Second
		answer, err := w.send(call)
		f, _ := fault.As(err)
		switch {
		case err == nil:
			w.mu.Lock()
			w.answers[request] = answer
			w.mu.Unlock()
		case f != nil && f.Type == fault.OutcomeUnknown:
			// A call with an unknown outcome has a turn in the history.
		case f != nil && f.Type == fault.BudgetExceeded:
			return
		default:
			w.fail("%s ended with %v", request, err)
			return
		}
	}
}

func (w *planRun) check(ids []string) {
	for _, service := range []string{"post", "mute"} {
		for request, runs := range w.runs.Of(service) {
			if runs > 1 {
				w.fail("%s ran %d times", request, runs)
			}
		}
	}
	for i, id := range ids {
		w.checkProgram(i, id)
	}
}

func (w *planRun) checkProgram(index int, id string) {
	var turns []port.Turn
	var err error
	for _, n := range w.liveNodes() {
		if turns, err = n.History(context.Background(), id); err == nil {
			break
		}
	}
	if err != nil {
		w.fail("no owner for %s: %v", id, err)
	}
	for i, turn := range turns {
		request := fmt.Sprint("p", index, "/", i+1)
		if turn.RequestID != request {
			w.fail("turn %d is of %s", i+1, turn.RequestID)
		}
		answer, handed := w.answers[request]
		if handed && (answer.TurnDigest != turn.TurnDigest || string(answer.Output) != string(turn.Output)) {
			w.fail("%s changed after it was handed out", request)
		}
		delete(w.answers, request)
	}
	for request := range w.answers {
		if len(request) > 1 && request[1] == byte('0'+index) {
			w.fail("%s was handed out and forgotten", request)
		}
	}
	if spent := w.spentAtEngines(id); spent > planBudget {
		w.fail("spent %d of %d", spent, planBudget)
	}
}

// endAll ends the programs and checks that no engine holds KV cache for them.
func (w *planRun) endAll(ids []string) {
	for _, id := range ids {
		ended := false
		for _, n := range w.liveNodes() {
			_, err := n.End(context.Background(), id)
			ended = ended || err == nil
		}
		if !ended {
			w.fail("%s can't be ended", id)
		}
	}
	time.Sleep(time.Minute)
	for _, name := range w.fleet.EngineNames() {
		if held := w.fleet.Engine(name).Now().KVPrograms; len(held) > 0 {
			w.fail("%s holds %v", name, held)
		}
	}
}

// runPlan runs a plan and returns the violations found.
func runPlan(t *testing.T, plan []step) []string {
	var wrong []string
	synctest.Test(t, func(t *testing.T) {
		w := &planRun{
			cluster: newCluster(t, planHosts, standin.LogOptions{Retention: planRetention}, nil),
			starts:  1,
			answers: make(map[string]port.Answer),
		}
		defer w.stop()
		var ids []string
		for i := range planPrograms {
			ids = append(ids, w.open(fmt.Sprint("open", i), planBudget).ProgramID)
		}
		var callers, faults sync.WaitGroup
		for i, id := range ids {
			callers.Go(func() { w.caller(id, i) })
		}
		for _, s := range plan {
			time.Sleep(s.After)
			faults.Go(func() { w.apply(s) })
		}
		faults.Wait()
		time.Sleep(time.Until(time.Now().Add(planEnd)))
		callers.Wait()
		w.check(ids)
		w.endAll(ids)
		wrong = w.violations
	})
	return wrong
}

// TestRandomFaults runs callers under random plans of faults. No call may run twice,
// no answer may change or be lost, no budget may be exceeded and no KV cache may be
// left over.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		if wrong := runPlan(t, plan); len(wrong) > 0 {
			rt.Fatalf("%+v\n%v", plan, wrong)
		}
	})
}
