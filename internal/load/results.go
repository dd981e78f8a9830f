package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// The range of recorded latencies, in microseconds, and their precision.
const (
	leastLatency = 1
	mostLatency  = 120_000_000
	digits       = 3
)

// results gathers latencies and failures.
type results struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
	failures  map[string]int
}

func (r *results) program(shape string, took time.Duration, err error) {
	r.note("program "+shape, took, err)
}

func (r *results) call(kind port.Kind, took time.Duration, err error) {
	r.note("call "+string(kind), took, err)
}

func (r *results) note(what string, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.failures == nil {
			r.failures = make(map[string]int)
		}
		r.failures[what+": "+nameOf(err)]++
		return
	}
	if r.latencies == nil {
		r.latencies = make(map[string]*hdrhistogram.Histogram)
	}
	h := r.latencies[what]
	if h == nil {
		h = hdrhistogram.New(leastLatency, mostLatency, digits)
		r.latencies[what] = h
	}
	_ = h.RecordValue(min(took.Microseconds(), mostLatency))
}

func nameOf(err error) string {
	if f, ok := fault.As(err); ok {
		return string(f.Type) + ", " + string(f.Run)
	}
	return "no answer"
}

func (r *results) write(out io.Writer, elapsed time.Duration) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tCOUNT\tPER SECOND\tP50\tP95\tP99\tMAX")
	for _, name := range keysOf(r.latencies) {
		h := r.latencies[name]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%s\t%s\t%s\t%s\n", name, h.TotalCount(),
			float64(h.TotalCount())/elapsed.Seconds(), at(h, 50), at(h, 95), at(h, 99), at(h, 100))
	}
	for _, name := range keysOf(r.failures) {
		fmt.Fprintf(w, "%s\t%d\n", name, r.failures[name])
	}
	_ = w.Flush()
}

func at(h *hdrhistogram.Histogram, percent float64) string {
	d := time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	return fmt.Sprintf("%.3fs", d.Seconds())
}

func keysOf[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
