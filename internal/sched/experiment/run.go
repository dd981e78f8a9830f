package experiment

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// Case is one situation.
type Case struct {
	Name string
	// Cut lets all callers of a minute come in one second.
	Reconnect bool
	// ReportEvery, EventDelay and EventLoss spoil what hosts can know.
	ReportEvery, EventDelay time.Duration
	EventLoss               float64
	// Crash makes a third of the engines crash.
	Crash bool
	// Poison resends a poisoned input.
	Poison bool
	// ToolHangs and Loops are the shares of tool calls that hang and of
	// programs that loop.
	ToolHangShare, LoopShare float64
	// Flood makes one organisation send all load but QuietShare of the
	// capacity.
	Burst bool
	// Alone drops the flooding organisation, to tell the quiet one's latency
	// alone.
	QuietOnly bool
}

const (
	reportLag = 500 * time.Millisecond
	eventLag  = time.Second
	// cutLength is how long the cut of case b has kept callers away.
	cutLength = time.Minute
	crashAt   = 30 * time.Second
	// quietShare is the quiet organisation's load in case g.
	quietShare   = 0.2
	poisonSends  = 10
	evictionTime = 5 * time.Second
)

// warmUp is the time whose arrivals are not measured: with a cut, none.
func (s Setup) warmUp() time.Duration {
	if s.Case.Reconnect {
		return 0
	}
	return s.WarmUp
}

// Cases are the situations a to h.
var Cases = []Case{
	{Name: "a", ReportEvery: reportLag, EventDelay: eventLag},
	{Name: "b", ReportEvery: reportLag, EventDelay: eventLag, Reconnect: true},
	{Name: "c", ReportEvery: 2 * time.Second, EventDelay: 5 * time.Second, EventLoss: 1.0 / 3},
	{Name: "d", ReportEvery: reportLag, EventDelay: eventLag, Crash: true},
	{Name: "e", ReportEvery: reportLag, EventDelay: eventLag, Poison: true},
	{Name: "f", ReportEvery: reportLag, EventDelay: eventLag, ToolHangShare: 0.05},
	{Name: "g", ReportEvery: reportLag, EventDelay: eventLag, Burst: true},
	{Name: "h", ReportEvery: reportLag, EventDelay: eventLag, LoopShare: 0.1},
}

// CaseNamed returns the case of that name.
func CaseNamed(name string) Case {
	for _, c := range Cases {
		if c.Name == name {
			return c
		}
	}
	return Case{}
}

// Run makes one run to its end and returns what it measured.
func Run(s Setup) (Outcome, error) {
	ctx := context.Background()
	b := newBench(s)
	if err := b.start(ctx); err != nil {
		return Outcome{}, err
	}
	defer b.stop(ctx)
	over := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { b.watch(over) })
	b.arrivals(ctx)
	b.running.Wait()
	close(over)
	watch.Wait()
	time.Sleep(evictionTime)
	o := b.tally.outcome()
	for i := range engineCount {
		o.HeldAfterEnd += len(b.fleet.Engine(engineName(i)).Now().KVPrograms)
	}
	b.evicts.Wait()
	return o, nil
}

// watchInterval is the time between two looks at the engines.
const watchInterval = 200 * time.Millisecond

// watch measures for which share of the window all engine slots are taken.
func (b *bench) watch(over <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	looks, full := 0, 0
	for {
		select {
		case <-over:
			b.tally.saturated(float64(full) / float64(max(looks, 1)))
			return
		case <-ticker.C:
		}
		if since := time.Since(b.begun); since < b.WarmUp || since > b.WarmUp+b.Window {
			continue
		}
		looks++
		if b.slotsTaken() == engineCount*engineConcurrency {
			full++
		}
	}
}

func (b *bench) slotsTaken() int {
	n := 0
	for i := range engineCount {
		n += b.fleet.Engine(engineName(i)).Now().Running
	}
	return n
}

// arrivals starts the programs at their times.
func (b *bench) arrivals(ctx context.Context) {
	if b.Case.Crash {
		b.running.Go(b.crash)
	}
	if b.Case.Poison {
		b.running.Go(func() { b.poison(ctx) })
	}
	if !b.Case.Burst {
		b.stream(ctx, "p", b.Load, (*generator).mixed)
		return
	}
	if !b.Case.QuietOnly {
		b.running.Go(func() { b.stream(ctx, "l", b.Load-quietShare, (*generator).ledger) })
	}
	b.stream(ctx, "q", quietShare, (*generator).reshuffle)
}

// stream starts programs as a Poisson process at a share of the capacity.
func (b *bench) stream(ctx context.Context, name string, load float64, draw func(*generator) *program) {
	g := newGenerator(fmt.Sprintf("%s%d-", name, b.Seed), b.Seed)
	gap := meanService(draw).Seconds() / (load * engineCount * engineConcurrency)
	next := time.Duration(0)
	for next < b.WarmUp+b.Window {
		p := b.draw(g, draw)
		at := next
		if b.Case.Reconnect && at < cutLength {
			at = time.Duration(float64(at) * float64(time.Second) / float64(cutLength))
		}
		time.Sleep(time.Until(b.begun.Add(at)))
		b.running.Go(func() { b.program(ctx, p) })
		next += time.Duration(g.r.ExpFloat64() * gap * float64(time.Second))
	}
}

func (b *bench) draw(g *generator, draw func(*generator) *program) *program {
	if g.r.Float64() < b.Case.LoopShare {
		return g.loop()
	}
	return draw(g)
}

// meanService is the mean engine time of a program with warm caches.
func meanService(draw func(*generator) *program) time.Duration {
	const samples = 2000
	g := newGenerator("mean", math.MaxUint32)
	var sum time.Duration
	for range samples {
		sum += draw(g).serviceTime()
	}
	return sum / samples
}

func (b *bench) program(ctx context.Context, p *program) {
	begun := time.Now()
	deadline := begun.Add(p.allowed)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := b.session(p, deadline).run(ctx)
	if begun.Sub(b.begun) < b.warmUp() {
		return
	}
	b.tally.ended(p, time.Since(begun), err)
}

func (b *bench) crash() {
	time.Sleep(b.WarmUp + crashAt)
	for i := 0; i < engineCount; i += 3 {
		if i+1 < engineCount {
			b.fleet.Engine(engineName(i)).Crash()
		}
	}
}

// poison sends one poisoned input again and again under new IDs, which other
// hosts own.
func (b *bench) poison(ctx context.Context) {
	time.Sleep(b.WarmUp)
	g := newGenerator(fmt.Sprintf("x%d-", b.Seed), b.Seed)
	for range poisonSends {
		p := g.newProgram(organisationLedger, "inquiry")
		p.add(1, 20, 0)
		p.poisoned = true
		p.finished()
		b.program(ctx, p)
	}
}
