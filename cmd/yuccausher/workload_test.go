package main_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"yuccausher/internal/caller"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

const (
	programTokens = 50_000
	answerTokens  = 24
)

// program is one program with the outcomes that its caller received.
type program struct {
	fleet *fleet
	name  string
	id    string
	// answers holds the complete answers by seq; unknown holds the IDs of the
	// requests whose outcome is unknown.
	answers map[int64]port.Answer
	unknown map[int64]string
	next    int64
}

func (f *fleet) open(name string, host int) *program {
	f.t.Helper()
	opened, err := f.caller.At(host).Open(f.ctx, caller.Program{
		Organisation: standin.OrganisationAnnuities,
		Agent:        standin.AgentAudit,
		Budget:       caller.Budget{Tokens: programTokens},
		RequestID:    "open-" + name,
	})
	if err != nil {
		f.t.Errorf("open %s: %v", name, err)
		return nil
	}
	return &program{
		fleet: f, name: name, id: opened.ProgramID, next: opened.NextSeq,
		answers: make(map[int64]port.Answer), unknown: make(map[int64]string),
	}
}

func (p *program) requestID() string { return fmt.Sprintf("%s-%d", p.name, p.next) }

// ask makes a streamed model call through a host.
func (p *program) ask(host int) {
	p.fleet.t.Helper()
	call := caller.Call{
		Seq:       p.next,
		RequestID: p.requestID(),
		Kind:      port.KindModel,
		Model:     standin.ModelSmall,
		MaxTokens: answerTokens,
		Input:     quoted(p.fleet, "question "+p.requestID()),
	}
	for {
		answer, err := p.fleet.caller.At(host).Stream(p.fleet.ctx, p.id, call, nil)
		if f, ok := fault.As(err); ok && f.Type == fault.TargetFailed && p.fleet.ctx.Err() == nil {
			continue
		}
		p.took(answer, err)
		return
	}
}

// post makes a posting through a host.
func (p *program) post(host int) {
	p.fleet.t.Helper()
	call := caller.Call{
		Seq:       p.next,
		RequestID: p.requestID(),
		Kind:      port.KindService,
		Service:   standin.ServiceLedger,
		Operation: standin.OperationPayout,
		Input:     quoted(p.fleet, p.requestID()),
	}
	answer, err := p.fleet.caller.At(host).Call(p.fleet.ctx, p.id, call)
	p.took(answer, err)
}

// took records an answer, or that the outcome is unknown.
func (p *program) took(answer port.Answer, err error) {
	p.fleet.t.Helper()
	f, isFault := fault.As(err)
	switch {
	case err == nil:
		p.answers[p.next] = answer
	case isFault && f.Type == fault.OutcomeUnknown:
		p.unknown[p.next] = p.requestID()
	default:
		p.fleet.t.Errorf("%s: %v", p.requestID(), err)
	}
	p.next++
}

func quoted(f *fleet, text string) json.RawMessage {
	f.t.Helper()
	data, err := json.Marshal(text)
	if err != nil {
		f.t.Fatal(err)
	}
	return data
}

// check compares the caller's answers with the history at a host and with the
// run counts of the stand-in.
func (p *program) check(host int, runs map[string]int) {
	t := p.fleet.t
	t.Helper()
	turns, err := p.fleet.caller.At(host).History(p.fleet.ctx, p.id)
	if err != nil {
		t.Errorf("history of %s: %v", p.name, err)
		return
	}
	if len(turns) != int(p.next-1) {
		t.Errorf("%s: history has %d turns, want %d", p.name, len(turns), p.next-1)
	}
	for i, turn := range turns {
		p.checkTurn(int64(i+1), turn, runs)
	}
}

func (p *program) checkTurn(seq int64, turn port.Turn, runs map[string]int) {
	t := p.fleet.t
	t.Helper()
	id := fmt.Sprintf("%s-%d", p.name, seq)
	if turn.Seq != seq || turn.RequestID != id {
		t.Errorf("%s: turn %d of the history is %d, %s", p.name, seq, turn.Seq, turn.RequestID)
	}
	answer, answered := p.answers[seq]
	if answered && (answer.RequestID != id || answer.ProgramID != p.id || answer.Seq != seq) {
		t.Errorf("%s: answer belongs to %s, %s, %d", id, answer.RequestID, answer.ProgramID, answer.Seq)
	}
	if answered && (string(turn.Output) != string(answer.Output) || turn.TurnDigest != answer.TurnDigest) {
		t.Errorf("%s: history differs from the answer: %s, %s", id, turn.Output, answer.Output)
	}
	if turn.Kind != port.KindService {
		return
	}
	if runs[id] > 1 || (answered && runs[id] != 1) {
		t.Errorf("%s: ran %d times, answered %v", id, runs[id], answered)
	}
}

// work runs programs concurrently, each with turns of both kinds, and returns
// when all have ended. Turns are sent to the hosts in rotation.
func (f *fleet) work(programs, turns int, hosts []int) []*program {
	f.t.Helper()
	all := make([]*program, programs)
	var running sync.WaitGroup
	for i := range all {
		running.Go(func() {
			all[i] = f.workOne(fmt.Sprintf("%s-p%d", f.t.Name(), i), turns, hosts, i)
		})
	}
	running.Wait()
	return slices.DeleteFunc(all, func(p *program) bool { return p == nil })
}

func (f *fleet) workOne(name string, turns int, hosts []int, offset int) *program {
	f.t.Helper()
	p := f.open(name, hosts[offset%len(hosts)])
	if p == nil {
		return nil
	}
	for turn := range turns {
		if f.ctx.Err() != nil {
			break
		}
		host := hosts[(offset+turn)%len(hosts)]
		if turn%2 == 0 {
			p.post(host)
		} else {
			p.ask(host)
		}
	}
	return p
}

// checkAll checks each program at each of the hosts.
func (f *fleet) checkAll(programs []*program, hosts []int) {
	f.t.Helper()
	runs := f.runs(standin.ServiceLedger)
	for _, p := range programs {
		for _, host := range hosts {
			p.check(host, runs)
		}
	}
}
