package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/prometheus/common/expfmt"

	"yuccausher/internal/adapter/httpcall"
)

// The metrics that tell what a host's process uses.
const (
	metricCPU    = "process_cpu_seconds_total"
	metricMemory = "process_resident_memory_bytes"
	metricHeap   = "go_memstats_heap_alloc_bytes"
)

// usage is what one host's process has used.
type usage struct {
	known bool
	// cpu is in seconds, memory and heap in bytes.
	cpu    float64
	memory float64
	heap   float64
}

// usage reads the metrics of all hosts; one that does not answer is unknown.
func (r *run) usage(ctx context.Context) []usage {
	client := httpcall.New()
	defer client.Close()
	all := make([]usage, len(r.o.Hosts))
	for i, base := range r.o.Hosts {
		all[i] = readUsage(ctx, client, base)
	}
	return all
}

func readUsage(ctx context.Context, client *httpcall.Client, base string) usage {
	response, err := client.Open(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return usage{}
	}
	defer response.Body.Close()
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return usage{}
	}
	value := func(name string) float64 {
		f := families[name]
		if f == nil || len(f.Metric) == 0 {
			return 0
		}
		return f.Metric[0].GetCounter().GetValue() + f.Metric[0].GetGauge().GetValue()
	}
	return usage{known: true, cpu: value(metricCPU), memory: value(metricMemory), heap: value(metricHeap)}
}

func writeUsage(out io.Writer, before, after []usage, elapsed time.Duration) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tCORE\tRESIDENT MB\tHEAP MB")
	for i := range after {
		if !before[i].known || !after[i].known {
			fmt.Fprintf(w, "%d\tdoes not answer\n", i)
			continue
		}
		share := (after[i].cpu - before[i].cpu) / elapsed.Seconds()
		fmt.Fprintf(w, "%d\t%.1f%%\t%.0f\t%.0f\n", i, 100*share, after[i].memory/(1<<20), after[i].heap/(1<<20))
	}
	_ = w.Flush()
}
