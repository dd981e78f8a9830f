package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the analysis of one or more logs.
type Report struct {
	Scanner  Scanner
	Windows  Windows
	Programs Programs
}

// New returns an empty report with windows of a length.
func New(window time.Duration) *Report { return &Report{Windows: Windows{Length: window}} }

// Read adds a log. It returns an error if the log can't be read.
func (r *Report) Read(log io.Reader) error {
	return r.Scanner.Scan(log, func(q Request) {
		r.Windows.Add(&q)
		r.Programs.Add(&q)
	})
}

// Write writes the report as text, with up to limit late programs.
func (r *Report) Write(w io.Writer, limit int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "lines\t%d requests, %d others, %d unknown, %d of programs beyond the limit\n\n",
		r.Scanner.Lines.Requests, r.Scanner.Lines.Other, r.Scanner.Lines.Unknown, r.Programs.Dropped)
	r.writeWindows(t)
	r.writeLosses(t)
	r.writePrograms(t, limit)
	return t.Flush()
}

func (r *Report) writeWindows(t io.Writer) {
	fmt.Fprintln(t, "from s\troute\trequests\tfirst ms p50\tp95\tevent ms p50\tp95\tnot answered, by outcome\tmost at host\tmost at target")
	for _, w := range r.Windows.Sorted() {
		failed := maps.Clone(w.Outcomes)
		delete(failed, "answered")
		fmt.Fprintf(t, "%.0f\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", w.Start.Seconds(), orDash(w.Route), w.Requests,
			w.FirstMs(0.5), w.FirstMs(0.95), w.EventMs(0.5), w.EventMs(0.95), counts(failed, 4), counts(w.Hosts, 1), counts(w.Targets, 1))
	}
	fmt.Fprintln(t)
}

// lossNames names the fields of Losses in the order of lossValues.
var lossNames = []string{"reserve", "lookup", "place", "connect", "wait", "keep", "failed"}

func lossValues(l Losses) []int64 {
	return []int64{l.Reserve, l.Lookup, l.Place, l.Connect, l.Wait, l.Keep, l.Failed}
}

// writeLosses writes, for the programs that began in each window, how many were late,
// how many of these only for avoidable losses, and the losses of the late ones.
func (r *Report) writeLosses(t io.Writer) {
	type row struct {
		all, late, avoidable int
		losses               [7]int64
		stream, before       int64
	}
	rows := make(map[time.Duration]*row)
	for _, p := range r.Programs.Sorted() {
		start := p.BegunAt.Truncate(r.Windows.Length)
		v := rows[start]
		if v == nil {
			v = &row{}
			rows[start] = v
		}
		v.all++
		if !p.IsLate() {
			continue
		}
		v.late++
		if p.IsAvoidable() {
			v.avoidable++
		}
		for i, ms := range lossValues(p.Losses) {
			v.losses[i] += ms
		}
		v.stream += p.StreamMs
		v.before += p.BeforeTargetMs
	}
	fmt.Fprintf(t, "begun from s\tprograms\tlate\tavoidable\tms of late programs: %s\tfirst byte\tstream\n", strings.Join(lossNames, "\t"))
	for _, start := range slices.Sorted(maps.Keys(rows)) {
		v := rows[start]
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d", start.Seconds(), v.all, v.late, v.avoidable)
		for _, ms := range v.losses {
			fmt.Fprintf(t, "\t%d", ms)
		}
		fmt.Fprintf(t, "\t%d\t%d\n", v.before, v.stream)
	}
	fmt.Fprintln(t)
}

// writePrograms writes the late programs, the most avoidable losses first.
func (r *Report) writePrograms(t io.Writer, limit int) {
	var late []*Program
	for _, p := range r.Programs.Sorted() {
		if p.IsLate() {
			late = append(late, p)
		}
	}
	slices.SortStableFunc(late, func(a, b *Program) int {
		if a.IsAvoidable() != b.IsAvoidable() {
			if a.IsAvoidable() {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Losses.Sum(), a.Losses.Sum())
	})
	fmt.Fprintf(t, "late program\troute\tbegun s\tlate ms\tavoidable\trequests\t%s\tfirst byte\tstream\tlast request\toutcome\n", strings.Join(lossNames, "\t"))
	for _, p := range late[:min(limit, len(late))] {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%t\t%d", p.ID, orDash(p.Route), p.BegunAt.Seconds(), -p.LeftMs, p.IsAvoidable(), p.Requests)
		for _, ms := range lossValues(p.Losses) {
			fmt.Fprintf(t, "\t%d", ms)
		}
		fmt.Fprintf(t, "\t%d\t%d\t%s\t%s\n", p.BeforeTargetMs, p.StreamMs, p.LastRequest, p.LastOutcome)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// counts formats the largest entries of a map.
func counts(m map[string]int, limit int) string {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	var parts []string
	for _, k := range keys[:min(limit, len(keys))] {
		parts = append(parts, fmt.Sprintf("%s %d", orDash(k), m[k]))
	}
	return orDash(strings.Join(parts, ", "))
}
