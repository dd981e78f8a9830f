// Package load puts a bounded load of whole programs on hosts, as callers
// would, and checks afterwards what must always hold, from what the callers
// got and from the targets' own counts.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/caller"
)

// Options say how much load is put on which hosts.
type Options struct {
	// Hosts are the base URLs of the entry hosts.
	Hosts []string
	// Control is the base URL of the stand-in's control.
	Control string
	// Callers is how many programs run at once, and Duration for how long new
	// ones are opened.
	Callers  int
	Duration time.Duration
	// Seed draws the programs; the same seed draws the same ones.
	Seed uint64
	// Faults causes the built-in list of failures during the load.
	Faults bool
}

const (
	// settleTime is given to answers under way after the load.
	settleTime = 3 * time.Second
	// programTimeout bounds one program.
	programTimeout = time.Minute
)

// BrokenError says how many findings speak against what must always hold.
type BrokenError struct{ Findings int }

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("%d findings", e.Findings) }

// run is one run of the load.
type run struct {
	o       Options
	caller  *caller.Caller
	ledger  ledger
	results results
}

// Run puts the load on, checks and writes a report. Its error is a
// *BrokenError if something did not hold.
func Run(ctx context.Context, o Options, out io.Writer) error {
	r := &run{o: o, caller: caller.New(o.Hosts...)}
	defer r.caller.Close()
	before := r.usage(ctx)
	began := time.Now()
	if err := r.load(ctx); err != nil {
		return errors.Trace(err)
	}
	elapsed := time.Since(began)
	after := r.usage(ctx)
	time.Sleep(settleTime)
	findings := r.check(ctx)
	r.results.write(out, elapsed)
	writeUsage(out, before, after, elapsed)
	for _, f := range findings {
		fmt.Fprintln(out, "finding:", f)
	}
	if len(findings) > 0 {
		return &BrokenError{Findings: len(findings)}
	}
	fmt.Fprintln(out, "what must always hold: no finding")
	return nil
}

func (r *run) load(ctx context.Context) error {
	until := time.Now().Add(r.o.Duration)
	var group sync.WaitGroup
	for i := range r.o.Callers {
		group.Go(func() { r.callPrograms(ctx, i, until) })
	}
	if r.o.Faults {
		group.Go(func() { r.causeFaults(ctx, until) })
	}
	group.Wait()
	return ctx.Err()
}

// callPrograms runs one program after another.
func (r *run) callPrograms(ctx context.Context, index int, until time.Time) {
	random := rand.New(rand.NewPCG(r.o.Seed, uint64(index)))
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		p := &program{
			run:    r,
			random: random,
			name:   fmt.Sprintf("load-%d-%d-%d-%d", r.o.Seed, until.UnixNano(), index, n),
		}
		p.execute(ctx)
	}
}
