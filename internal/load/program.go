package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"yuccausher/internal/caller"
	"yuccausher/internal/port"
)

const (
	budgetTokens = 100_000
	// meanPause is the mean time between the calls of a program.
	meanPause = 100 * time.Millisecond
)

// program is one program of the load, or a child of one.
type program struct {
	run    *run
	random *rand.Rand
	name   string
	shape  shape
	id     string
	seq    int64
}

// shape is a kind of program that the users run.
type shape struct {
	name         string
	organisation string
	agent        string
	steps        func(ctx context.Context, p *program) error
}

var shapes = []shape{
	{"inquiry", "pettengill-crane", "ledger-inquiry", inquire},
	{"audit", "pettengill-crane", "audit", audit},
	{"reshuffle", "brunner", "round-planning", reshuffle},
	{"parent inquiry", "brunner", "parent-inquiry", inquire},
}

func (p *program) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, programTimeout)
	defer cancel()
	p.shape = shapes[p.random.IntN(len(shapes))]
	began := time.Now()
	err := p.open(ctx, "")
	if err == nil {
		err = p.shape.steps(ctx, p)
	}
	p.run.results.program(p.shape.name, time.Since(began), err)
	if p.id != "" {
		_ = p.host().End(ctx, p.id)
	}
}

func (p *program) host() *caller.Caller {
	return p.run.caller.At(p.random.IntN(len(p.run.o.Hosts)))
}

func (p *program) open(ctx context.Context, parent string) error {
	opened, err := p.host().Open(ctx, caller.Program{
		Organisation: p.shape.organisation,
		Agent:        p.shape.agent,
		Budget:       caller.Budget{Tokens: budgetTokens},
		Parent:       parent,
		RequestID:    p.name,
	})
	if err != nil {
		return err
	}
	p.id = opened.ProgramID
	p.run.ledger.opened(p.id)
	return nil
}

// child runs steps as a child program.
func (p *program) child(ctx context.Context, n int, steps func(context.Context, *program) error) error {
	c := &program{run: p.run, random: p.random, shape: p.shape, name: fmt.Sprint(p.name, "-c", n)}
	if err := c.open(ctx, p.id); err != nil {
		return err
	}
	return steps(ctx, c)
}

func (p *program) model(ctx context.Context, model string, maxTokens int64) error {
	return p.call(ctx, caller.Call{Kind: port.KindModel, Model: model, MaxTokens: maxTokens}, false)
}

func (p *program) tool(ctx context.Context, service, operation string) error {
	return p.call(ctx, caller.Call{Kind: port.KindService, Service: service, Operation: operation}, false)
}

func (p *program) post(ctx context.Context, service, operation string) error {
	return p.call(ctx, caller.Call{Kind: port.KindService, Service: service, Operation: operation}, true)
}

// call makes the program's next call and notes what came of it.
func (p *program) call(ctx context.Context, call caller.Call, once bool) error {
	p.pause(ctx)
	p.seq++
	call.Seq = p.seq
	call.RequestID = fmt.Sprint(p.name, "-", p.seq)
	call.Input, _ = json.Marshal(map[string]string{"request": call.RequestID})
	began := time.Now()
	answer, err := p.host().Call(ctx, p.id, call)
	p.run.results.call(call.Kind, time.Since(began), err)
	p.run.ledger.called(p.id, call, once, answer, err)
	if isUnknownOutcome(err) {
		return nil
	}
	return err
}

func (p *program) pause(ctx context.Context) {
	wait := time.Duration(p.random.ExpFloat64() * float64(meanPause))
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func inquire(ctx context.Context, p *program) error {
	if err := p.model(ctx, "small", 48); err != nil {
		return err
	}
	if err := p.tool(ctx, "ledger", "read_shares"); err != nil {
		return err
	}
	return p.model(ctx, "small", 96)
}

// audit reads with branching lookups and posts at its end.
func audit(ctx context.Context, p *program) error {
	for turn := range 4 {
		if err := p.model(ctx, "large", 96); err != nil {
			return err
		}
		if err := p.child(ctx, turn, inquire); err != nil {
			return err
		}
	}
	return p.post(ctx, "ledger", "post_forfeiture")
}

// reshuffle plans and has a child program for each crèche.
func reshuffle(ctx context.Context, p *program) error {
	if err := p.tool(ctx, "routing", "plan"); err != nil {
		return err
	}
	for n := range 3 {
		if err := p.child(ctx, n, collect); err != nil {
			return err
		}
	}
	return p.model(ctx, "small", 64)
}

func collect(ctx context.Context, p *program) error {
	if err := p.model(ctx, "small", 32); err != nil {
		return err
	}
	return p.post(ctx, "billing", "order_collection")
}
