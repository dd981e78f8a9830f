package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	name := os.Getenv("TRIAL_CASE")
	if name == "" {
		t.Skip()
	}
	slots := make(chan struct{}, 5)
	for _, field := range strings.Fields(os.Getenv("TRIAL_LOADS")) {
		load, _ := strconv.ParseFloat(field, 64)
		for _, p := range append([]Policy{Product}, Baselines...) {
			if only := os.Getenv("TRIAL_POLICY"); only != "" && !strings.Contains(only, p.Name) {
				continue
			}
			for seed := range uint64(3) {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					o := run(t, Setup{Policy: p, Case: CaseNamed(name), Load: load, Seed: seed + 1, WarmUp: measureWarmUp, Window: measureWindow})
					r := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
					fmt.Printf("%-18s %s %.1f #%d n %d fin %d aband %d ideal %v mean %v p95 %v quiet %v ttft %v hostwait %v longest %v recomp %.1fM evicted %.1fM disp %d retries %d ref %v poison %d held %d full %.2f\n", p.Name, name, load, seed,
						o.Programs, o.Finished, o.Abandoned, r(o.Ideal), r(o.Mean), r(o.P95), r(o.Quiet), r(o.FirstToken), r(o.HostWait), r(o.LongestWait), float64(o.Recomputed)/1e6, float64(o.Evicted)/1e6, o.Dispatches, o.Retries, o.Refusals, o.PoisonCrashes, o.HeldAfterEnd, o.Saturated)
				})
			}
		}
	}
}
