package experiment

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// Case is one scenario.
type Case struct {
	Name string
	// Reconnect makes all callers of outageLength arrive in one second, as after an
	// outage.
	Reconnect bool
	// ReportEvery, EventDelay and EventLoss make the information of the hosts
	// outdated or incomplete.
	ReportEvery, EventDelay time.Duration
	EventLoss               float64
	// Crash makes a third of the engines crash.
	Crash bool
	// Poison sends a poisoned input repeatedly.
	Poison bool
	// ToolHangShare and LoopShare are the shares of tool calls that hang and of
	// programs that loop.
	ToolHangShare, LoopShare float64
	// Burst makes one organisation send all load except for quietShare of the
	// capacity.
	Burst bool
	// QuietOnly leaves out the bursting organisation, to measure the latency of the
	// quiet one without it.
	QuietOnly bool
}

const (
	reportLag = 500 * time.Millisecond
	eventLag  = time.Second
	// outageLength is the length of the outage before case b.
	outageLength = time.Minute
	crashAt      = 30 * time.Second
	// quietShare is the quiet organisation's load in case g.
	quietShare    = 0.2
	poisonSends   = 10
	evictionGrace = 5 * time.Second
)

// warmUp returns the time whose arrivals are not measured. It is zero after an outage.
func (s Setup) warmUp() time.Duration {
	if s.Case.Reconnect {
		return 0
	}
	return s.WarmUp
}

// Cases are the scenarios a to h.
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

// CaseNamed returns the case of the given name, or a zero Case.
func CaseNamed(name string) Case {
	for _, c := range Cases {
		if c.Name == name {
			return c
		}
	}
	return Case{}
}

// Run executes one run and returns its measurements.
func Run(s Setup) (Outcome, error) {
	ctx := context.Background()
	b := newBench(s)
	if err := b.start(ctx); err != nil {
		return Outcome{}, err
	}
	defer b.stop(ctx)
	over := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { b.sampleSaturation(over) })
	b.startArrivals(ctx)
	b.running.Wait()
	close(over)
	watch.Wait()
	time.Sleep(evictionGrace)
	o := b.measured.outcome()
	for i := range engineCount {
		o.HeldAfterEnd += len(b.fleet.Engine(engineName(i)).Now().KVPrograms)
	}
	b.evictions.Wait()
	return o, nil
}

// sampleInterval is the time between two samples of the engines' running calls.
const sampleInterval = 200 * time.Millisecond

// sampleSaturation measures the share of the window in which all engine slots are taken.
func (b *bench) sampleSaturation(over <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	samples, full := 0, 0
	for {
		select {
		case <-over:
			b.measured.saturated(float64(full) / float64(max(samples, 1)))
			return
		case <-ticker.C:
		}
		if since := time.Since(b.startedAt); since < b.WarmUp || since > b.WarmUp+b.Window {
			continue
		}
		samples++
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

// startArrivals starts the programs at their arrival times.
func (b *bench) startArrivals(ctx context.Context) {
	if b.Case.Crash {
		b.running.Go(b.crashEngines)
	}
	if b.Case.Poison {
		b.running.Go(func() { b.sendPoison(ctx) })
	}
	if !b.Case.Burst {
		b.startPrograms(ctx, "p", b.Load, (*generator).mixed)
		return
	}
	if !b.Case.QuietOnly {
		b.running.Go(func() { b.startPrograms(ctx, "l", b.Load-quietShare, (*generator).ledger) })
	}
	b.startPrograms(ctx, "q", quietShare, (*generator).reshuffle)
}

// startPrograms starts programs as a Poisson process whose load is a multiple of the
// capacity.
func (b *bench) startPrograms(ctx context.Context, name string, load float64, draw func(*generator) *program) {
	g := newGenerator(fmt.Sprintf("%s%d-", name, b.Seed), b.Seed)
	gap := meanService(draw).Seconds() / (load * engineCount * engineConcurrency)
	next := time.Duration(0)
	for next < b.WarmUp+b.Window {
		p := b.draw(g, draw)
		at := next
		if b.Case.Reconnect && at < outageLength {
			at = time.Duration(float64(at) * float64(time.Second) / float64(outageLength))
		}
		time.Sleep(time.Until(b.startedAt.Add(at)))
		b.running.Go(func() { b.runProgram(ctx, p) })
		next += time.Duration(g.random.ExpFloat64() * gap * float64(time.Second))
	}
}

func (b *bench) draw(g *generator, draw func(*generator) *program) *program {
	if g.random.Float64() < b.Case.LoopShare {
		return g.loop()
	}
	return draw(g)
}

// meanService returns the mean engine time of a program with cached prefixes.
func meanService(draw func(*generator) *program) time.Duration {
	const samples = 2000
	g := newGenerator("mean", math.MaxUint32)
	var sum time.Duration
	for range samples {
		sum += draw(g).serviceTime()
	}
	return sum / samples
}

func (b *bench) runProgram(ctx context.Context, p *program) {
	begun := time.Now()
	deadline := begun.Add(p.timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := b.session(p, deadline).run(ctx)
	if begun.Sub(b.startedAt) < b.warmUp() {
		return
	}
	b.measured.ended(p, time.Since(begun), err)
}

func (b *bench) crashEngines() {
	time.Sleep(b.WarmUp + crashAt)
	for i := 0; i < engineCount; i += 3 {
		if i+1 < engineCount {
			b.fleet.Engine(engineName(i)).Crash()
		}
	}
}

// sendPoison sends one poisoned input repeatedly under new program IDs, which different
// hosts own.
func (b *bench) sendPoison(ctx context.Context) {
	time.Sleep(b.WarmUp)
	g := newGenerator(fmt.Sprintf("x%d-", b.Seed), b.Seed)
	for range poisonSends {
		p := g.newProgram(organisationLedger, "inquiry")
		p.add(1, 20, 0)
		p.poisoned = true
		p.withTimeout()
		b.runProgram(ctx, p)
	}
}
