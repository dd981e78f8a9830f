package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// decider returns one routing decision over a number of replicas, by a host
// that knows 300 programs.
func decider(replicas int) func() {
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(1, document(replicas, 16)))
	s := New(Params{Config: holder, Self: port.Host{ID: "h0", DataCentre: "dc"}, Seed: 1})
	table, snapshot := s.current()
	p := table.pools[poolKey{port.KindModel, model}]
	now := time.Now()
	waiters := make([]*waiter, 300)
	for i := range waiters {
		w := modelWork(fmt.Sprint("p", i))
		w.CachedAt = map[string]int64{engineName(i % replicas): 90}
		waiters[i] = s.newWaiter(w, snapshot)
		p.decide(waiters[i], now, routing.Slot{})
	}
	next := 0
	return func() {
		next++
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.decide(waiters[next%len(waiters)], now, routing.Slot{}).Target == nil {
			panic("no target")
		}
	}
}

func BenchmarkCapacityRouting(b *testing.B) {
	for _, replicas := range []int{10, 100, 600, 2400} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			decide := decider(replicas)
			b.ReportAllocs()
			for b.Loop() {
				decide()
			}
		})
	}
}

// A decision over 600 replicas makes at most two allocations.
func TestRoutingDecisionAllocates(t *testing.T) {
	is := is.New(t)
	is.True(testing.AllocsPerRun(1000, decider(600)) <= 2)
}
