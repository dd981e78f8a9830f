package sched

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"

	_ "yuccausher/internal/testutil"
)

const model = "m"

// document has one model on engines of the given concurrency and one service
// on two targets.
func document(engines, concurrency int) *config.Document {
	d := &config.Document{
		Format: config.Format, Partitions: 1, Streams: 1,
		Organisations: []config.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		Agents:        []config.Agent{{Name: "agent", Organisation: "a", LatencyWeight: 1}},
		Classes:       []config.Class{{Name: "normal"}},
		Models:        []config.Model{{Name: model, ContextTokens: 1 << 20, MaxOutputTokens: 1 << 10}},
		Services:      []config.Service{{Name: "ledger"}},
	}
	for i := range engines {
		d.Targets = append(d.Targets, config.Target{
			Name: engineName(i), Address: "x", DataCentre: "dc", Model: model, Concurrency: concurrency,
		})
	}
	for i := range 2 {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprint("s", i), Address: "x", DataCentre: "dc", Services: []string{"ledger"}, Concurrency: 4,
		})
	}
	return d
}

func engineName(i int) string { return fmt.Sprint("e", i) }

// newFleet returns engines whose calls take a second or so.
func newFleet(engines, concurrency int) *standin.Fleet {
	list := make([]*standin.Engine, engines)
	for i := range list {
		list[i] = standin.NewEngine(standin.EngineOptions{
			Name: engineName(i), Model: model, Concurrency: concurrency,
			PrefillPerToken: 200 * time.Microsecond, PerOutputToken: 20 * time.Millisecond,
		})
	}
	return standin.NewFleet(list, nil, nil, 0)
}

// host is one scheduler over a fleet.
type host struct {
	*Scheduler
	engine port.Engine
}

func newHost(t *testing.T, fleet *standin.Fleet, d *config.Document, change func(*Params)) *host {
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(1, d))
	p := Params{
		Config: holder, Engine: fleet.EngineClient(), HostList: fleet,
		Self: port.Host{ID: "h0", DataCentre: "dc"}, Seed: 1,
	}
	if change != nil {
		change(&p)
	}
	h := &host{Scheduler: New(p), engine: p.Engine}
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h
}

// fullHost is a host whose only slot is taken.
func fullHost(t *testing.T) (*host, port.Grant) {
	h := newHost(t, newFleet(1, 1), document(1, 1), nil)
	h.useShare(t, 200)
	held, err := h.Acquire(t.Context(), modelWork("held"))
	if err != nil {
		t.Fatal(err)
	}
	return h, held
}

func modelWork(program string) port.Work {
	return port.Work{
		ProgramID: program, RootID: program, RequestID: program + "/1", Organisation: "a", Agent: "agent",
		Class: "normal", Kind: port.KindModel, Name: model, PromptTokens: 100, MaxTokens: 64,
		Arrived: time.Now(), Idempotent: true,
	}
}

// run dispatches one call as an owner does, without retries.
func (h *host) run(ctx context.Context, w port.Work, text string) (string, error) {
	g, err := h.Acquire(ctx, w)
	if err != nil {
		return "", err
	}
	started := time.Now()
	var first time.Duration
	sink := func(port.Delta) error {
		if first == 0 {
			first = time.Since(started)
		}
		return nil
	}
	result, err := h.engine.Generate(ctx, g.Target(), port.ModelCall{
		ProgramID: w.ProgramID, Seq: w.Turns + 1, RequestID: w.RequestID, Model: w.Name,
		Prompt: []port.Segment{{Role: "user", Text: text}}, MaxTokens: w.MaxTokens, Priority: g.Priority(),
	}, sink)
	r := port.Result{FirstToken: first, Total: time.Since(started), Usage: result.Usage}
	errors.As(err, &r.Err)
	g.Done(r)
	return g.Target().Name, err
}

// useShare lets the organisation of modelWork use one slot for some seconds.
func (h *host) useShare(t *testing.T, seconds int) {
	for range seconds {
		w := modelWork("earlier")
		w.Turns = 1
		g, err := h.Acquire(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		g.Done(port.Result{Total: time.Second})
	}
}

// virtual runs a test in virtual time.
func virtual(t *testing.T, body func(t *testing.T)) { synctest.Test(t, body) }
