package experiment

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/sched"

	_ "yuccausher/internal/testutil"
)

func runVirtual(t *testing.T, s Setup) (o Outcome) {
	synctest.Test(t, func(t *testing.T) {
		var err error
		if o, err = Run(s); err != nil {
			t.Fatal(err)
		}
	})
	return o
}

func TestTrial(t *testing.T) {
	name := os.Getenv("TRIAL_CASE")
	if name == "" {
		t.Skip()
	}
	slots := make(chan struct{}, 4)
	for _, field := range strings.Fields(os.Getenv("TRIAL_LOADS")) {
		load, _ := strconv.ParseFloat(field, 64)
		for _, p := range append([]Policy{Product}, trials...) {
			if only := os.Getenv("TRIAL_POLICY"); only != "" && !strings.Contains(only, p.Name) {
				continue
			}
			for seed := range uint64(2) {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					o := runVirtual(t, Setup{Policy: p, Case: CaseNamed(name), Load: load, Seed: seed + 1})
					o.print(p.Name, name, load, seed)
				})
			}
		}
	}
}

var trials = append(slices.Clone(Baselines),
	Policy{Name: "product-fcfs", Variant: sched.Variant{FirstCome: true}},
	Policy{Name: "product-unlimited", Variant: sched.Variant{Unlimited: true}},
)

func (o Outcome) print(policy, name string, load float64, seed uint64) {
	r := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	fmt.Printf("%-18s %s %.1f #%d n %d fin %d aband %d ideal %v mean %v p95 %v quiet %v ttft %v hostwait %v longest %v recomp %.1fM evicted %.1fM disp %d retries %d ref %v poison %d held %d\n", policy, name, load, seed,
		o.Programs, o.Finished, o.Abandoned, r(o.Ideal), r(o.Mean), r(o.P95), r(o.Quiet), r(o.FirstToken), r(o.HostWait), r(o.LongestWait), float64(o.Recomputed)/1e6, float64(o.Evicted)/1e6, o.Dispatches, o.Retries, o.Refusals, o.PoisonCrashes, o.HeldAfterEnd)
}
