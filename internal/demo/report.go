package demo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// report collects the rows of the table. It is safe for concurrent use.
type report struct {
	mu     sync.Mutex
	begun  time.Time
	rows   []row
	failed int
}

type row struct {
	at      time.Duration
	program string
	what    string
	result  string
}

// begin sets the time from which the rows count.
func (r *report) begin() { r.begun = time.Now() }

// step notes a call and the target that served it.
func (r *report) step(program, what, target string) {
	r.add(program, what, "answered by "+target)
}

// event notes a fault.
func (r *report) event(program, what string) { r.add(program, what, "fault") }

// check notes whether something holds.
func (r *report) check(what string, holds bool) {
	result := "holds"
	if !holds {
		result = "DOES NOT HOLD"
		r.mu.Lock()
		r.failed++
		r.mu.Unlock()
	}
	r.add("check", what, result)
}

func (r *report) add(program, what, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, row{time.Since(r.begun), program, what, result})
}

// write writes the table.
func (r *report) write(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tPROGRAM\tSTEP\tRESULT")
	for _, row := range r.rows {
		fmt.Fprintf(table, "%5.2f s\t%s\t%s\t%s\n", row.at.Seconds(), row.program, row.what, row.result)
	}
	table.Flush()
}
