package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	seeds         = 5
	measureWarmUp = 2 * time.Minute
	measureWindow = 3 * time.Minute
	// atOnce is how many runs go side by side.
	atOnce = 5
	alone  = "alone"
)

// report collects the outcomes of many runs by case, load and policy.
type report struct {
	mu       sync.Mutex
	outcomes map[string][]Outcome
}

func newReport() *report { return &report{outcomes: make(map[string][]Outcome)} }

func key(name string, load float64, policy string) string {
	return fmt.Sprintf("%s %.1f %s", name, load, policy)
}

func (r *report) measure(t *testing.T) {
	slots := make(chan struct{}, atOnce)
	each := func(label string, s Setup) {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			o := run(t, s)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.outcomes[label] = append(r.outcomes[label], o)
		})
	}
	for seed := range uint64(seeds) {
		for _, c := range Cases {
			s := Setup{Policy: Product, Case: c, Seed: seed + 1, WarmUp: measureWarmUp, Window: measureWindow}
			for _, s.Load = range []float64{0.5, 0.9, 1, 2} {
				each(key(c.Name, s.Load, s.Policy.Name), s)
			}
			for _, s.Policy = range Baselines {
				for _, s.Load = range []float64{0.5, 0.9, 2} {
					each(key(c.Name, s.Load, s.Policy.Name), s)
				}
			}
		}
		s := Setup{Policy: Product, Case: CaseNamed("g"), Load: 1, Seed: seed + 1, WarmUp: measureWarmUp, Window: measureWindow}
		s.Case.Alone = true
		each(key(alone, 1, Product.Name), s)
	}
}

// String returns a Markdown table: median, and in brackets the worst.
func (r *report) String() string {
	var b strings.Builder
	b.WriteString("| case | load | policy | mean, s | p95, s | ideal mean, s | finished a minute | begun, not finished | first token p95, s | slots full | recomputed, M tokens | retries, % | quiet firm p95, s | poison crashes | held after end |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", alone} {
		for _, load := range []float64{0.5, 0.9, 1, 2} {
			for _, p := range append([]Policy{Product}, Baselines...) {
				if list := r.outcomes[key(name, load, p.Name)]; len(list) > 0 {
					fmt.Fprintf(&b, "| %s | %.1f | %s |%s\n", name, load, p.Name, row(list))
				}
			}
		}
	}
	return b.String()
}

func row(list []Outcome) string {
	most := func(f func(Outcome) float64) string { return cell(list, f, slices.Max[[]float64]) }
	least := func(f func(Outcome) float64) string { return cell(list, f, slices.Min[[]float64]) }
	cells := []string{
		most(func(o Outcome) float64 { return o.Mean.Seconds() }),
		most(func(o Outcome) float64 { return o.P95.Seconds() }),
		most(func(o Outcome) float64 { return o.Ideal.Seconds() }),
		least(func(o Outcome) float64 { return float64(o.Finished) / measureWindow.Minutes() }),
		most(func(o Outcome) float64 { return float64(o.Abandoned) }),
		most(func(o Outcome) float64 { return o.FirstToken.Seconds() }),
		most(func(o Outcome) float64 { return o.Saturated }),
		most(func(o Outcome) float64 { return float64(o.Recomputed) / 1e6 }),
		most(func(o Outcome) float64 { return 100 * float64(o.Retries) / float64(o.Dispatches) }),
		most(func(o Outcome) float64 { return o.Quiet.Seconds() }),
		most(func(o Outcome) float64 { return float64(o.PoisonCrashes) }),
		most(func(o Outcome) float64 { return float64(o.HeldAfterEnd) }),
	}
	return " " + strings.Join(cells, " | ") + " |"
}

func cell(list []Outcome, value func(Outcome) float64, worst func([]float64) float64) string {
	values := make([]float64, len(list))
	for i, o := range list {
		values[i] = value(o)
	}
	slices.SortFunc(values, cmp.Compare[float64])
	median := values[len(values)/2]
	return fmt.Sprintf("%.3g (%.3g)", median, worst(values))
}
