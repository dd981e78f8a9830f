package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"yuccausher/internal/caller"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// services are those whose counts are read.
var services = []string{"ledger", "billing"}

// ledger is what the callers know, for the checks after the load.
type ledger struct {
	mu       sync.Mutex
	programs map[string][]noted
}

// noted is one call with its answer.
type noted struct {
	call     caller.Call
	once     bool
	answered bool
	answer   port.Answer
	// notRun says that the last answer promised that the call did not run.
	notRun bool
}

func (l *ledger) opened(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.programs == nil {
		l.programs = make(map[string][]noted)
	}
	l.programs[id] = nil
}

func (l *ledger) called(id string, call caller.Call, once bool, answer port.Answer, err error) {
	n := noted{call: call, once: once, answered: err == nil, answer: answer}
	if f, ok := fault.As(err); ok {
		n.notRun = f.Run == fault.NotRun
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs[id] = append(l.programs[id], n)
}

func isUnknownOutcome(err error) bool {
	f, ok := fault.As(err)
	return ok && f.Type == fault.OutcomeUnknown
}

// check returns what speaks against the promises.
func (r *run) check(ctx context.Context) []string {
	runs, err := r.runs(ctx)
	if err != nil {
		return []string{"counts can't be read: " + err.Error()}
	}
	var findings []string
	for id, calls := range r.ledger.programs {
		findings = append(findings, checkCalls(id, calls, runs)...)
		findings = append(findings, r.checkHistory(ctx, id, calls)...)
	}
	return findings
}

// runs returns how often each request ran.
func (r *run) runs(ctx context.Context) (map[string]int, error) {
	control := caller.New(r.o.Control)
	defer control.Close()
	all := make(map[string]int)
	for _, service := range services {
		var runs map[string]int
		if err := control.Get(ctx, "/runs?service="+service, &runs); err != nil {
			return nil, err
		}
		for id, n := range runs {
			all[id] = n
		}
	}
	return all, nil
}

func checkCalls(id string, calls []noted, runs map[string]int) []string {
	var findings []string
	for _, n := range calls {
		ran := runs[n.call.RequestID]
		switch {
		case n.answered && !isOwn(id, n):
			findings = append(findings, "answer of another request: "+n.call.RequestID)
		case !n.once:
		case ran > 1:
			findings = append(findings, fmt.Sprintf("ran %d times: %s", ran, n.call.RequestID))
		case n.answered && ran != 1:
			findings = append(findings, "answered but never ran: "+n.call.RequestID)
		case n.notRun && ran != 0:
			findings = append(findings, "not_run but ran: "+n.call.RequestID)
		}
	}
	return findings
}

func isOwn(id string, n noted) bool {
	a := n.answer
	if a.ProgramID != id || a.Seq != n.call.Seq || a.RequestID != n.call.RequestID {
		return false
	}
	if n.call.Kind == port.KindModel {
		return true
	}
	var echo struct {
		Input json.RawMessage `json:"input"`
	}
	return json.Unmarshal(a.Output, &echo) == nil && bytes.Equal(echo.Input, n.call.Input)
}

// checkHistory compares a program's history and spending with its answers.
func (r *run) checkHistory(ctx context.Context, id string, calls []noted) []string {
	turns, err := r.caller.History(ctx, id)
	if err != nil {
		return []string{"no history of " + id + ": " + err.Error()}
	}
	var findings []string
	for i, t := range turns {
		if t.Seq != int64(i)+1 {
			findings = append(findings, "history out of order: "+id)
		}
	}
	for _, n := range calls {
		if n.answered && !holds(turns, n.answer) {
			findings = append(findings, "answer missing in history: "+n.call.RequestID)
		}
	}
	view, err := r.caller.Program(ctx, id)
	if err == nil && view.SpentTokens > budgetTokens {
		findings = append(findings, fmt.Sprintf("spent %d of %d: %s", view.SpentTokens, budgetTokens, id))
	}
	return findings
}

func holds(turns []port.Turn, a port.Answer) bool {
	if a.Seq > int64(len(turns)) {
		return false
	}
	t := turns[a.Seq-1]
	return t.RequestID == a.RequestID && bytes.Equal(t.Output, a.Output) && t.TurnDigest == a.TurnDigest
}
