// Package demo shows the main job of the system to a newcomer: two programs
// run on real hosts while one of the hosts is killed and the answer to a
// posting is lost. What it shows is checked against the targets' own counts.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/caller"
	"yuccausher/internal/dev"
	"yuccausher/internal/port"
)

const (
	hosts = 3
	// runTimeout bounds the demonstration, and stopTimeout its end.
	runTimeout  = 14 * time.Second
	stopTimeout = 5 * time.Second
	// budgetTokens is the budget of each program.
	budgetTokens = 20_000
	maxTokens    = 48
)

// FailedError says how many of the checks did not hold.
type FailedError struct{ Checks int }

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%d checks did not hold", e.Checks)
}

// demo is one demonstration.
type demo struct {
	cluster *dev.Cluster
	caller  *caller.Caller
	report  report

	mu       sync.Mutex
	programs []*program
}

// Run gives the demonstration and writes its table. Its error is a
// *FailedError if something did not hold.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	cluster, err := dev.Start(ctx, dev.Options{Hosts: hosts, Logger: logr.Discard()})
	if err != nil {
		return errors.Annotate(err, "start")
	}
	d := &demo{cluster: cluster, caller: caller.New(cluster.Bases()...)}
	err = d.run(ctx)
	d.report.write(out)
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	if err == nil && d.report.failed > 0 {
		err = &FailedError{Checks: d.report.failed}
	}
	return err
}

func (d *demo) stop() error {
	d.caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Annotate(d.cluster.Stop(ctx), "stop")
}

func (d *demo) run(ctx context.Context) error {
	if err := d.cluster.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	d.report.begin()
	if err := d.inquiry(ctx); err != nil {
		return errors.Annotate(err, "inquiry")
	}
	if err := d.reshuffle(ctx); err != nil {
		return errors.Annotate(err, "reshuffle")
	}
	return d.check(ctx)
}

// program is one program with what its caller was told.
type program struct {
	demo    *demo
	name    string
	id      string
	answers []port.Answer
}

// open opens a program.
func (d *demo) open(ctx context.Context, name, organisation, agent, parent string) (*program, error) {
	opened, err := d.caller.Open(ctx, caller.Program{
		Organisation: organisation,
		Agent:        agent,
		Budget:       caller.Budget{Tokens: budgetTokens},
		Parent:       parent,
		RequestID:    "open-" + name,
	})
	if err != nil {
		return nil, errors.Annotatef(err, "open %s", name)
	}
	p := &program{demo: d, name: name, id: opened.ProgramID}
	d.mu.Lock()
	d.programs = append(d.programs, p)
	d.mu.Unlock()
	return p, nil
}

// requestID names the program's next request.
func (p *program) requestID() string {
	return fmt.Sprintf("%s-%d", p.name, len(p.answers)+1)
}

// ask makes a streamed model call.
func (p *program) ask(ctx context.Context, model, text string) error {
	var pieces int
	answer, err := p.demo.caller.Stream(ctx, p.id, caller.Call{
		Seq:       int64(len(p.answers) + 1),
		RequestID: p.requestID(),
		Kind:      port.KindModel,
		Model:     model,
		MaxTokens: maxTokens,
		Input:     quoted(text),
	}, func(string) { pieces++ })
	if err != nil {
		return errors.Annotatef(err, "call %s", p.requestID())
	}
	p.took(answer, fmt.Sprintf("model %s, %d pieces", model, pieces))
	return nil
}

// use makes a service call.
func (p *program) use(ctx context.Context, service, operation string) error {
	answer, err := p.demo.caller.Call(ctx, p.id, p.serviceCall(service, operation))
	if err != nil {
		return errors.Annotatef(err, "call %s", p.requestID())
	}
	p.took(answer, service+" "+operation)
	return nil
}

func (p *program) serviceCall(service, operation string) caller.Call {
	return caller.Call{
		Seq:       int64(len(p.answers) + 1),
		RequestID: p.requestID(),
		Kind:      port.KindService,
		Service:   service,
		Operation: operation,
		Input:     quoted(p.name),
	}
}

func quoted(text string) json.RawMessage {
	data, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}

// took notes an answer.
func (p *program) took(answer port.Answer, what string) {
	p.answers = append(p.answers, answer)
	p.demo.report.step(p.name, what, answer.Target)
}
