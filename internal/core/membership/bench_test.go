package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"yuccausher/internal/core/membership"
)

// BenchmarkCapacityMembership measures one heartbeat interval of one host,
// including its exchanges and the simulated network, the bytes that a host sends
// per second, and the memory of its state.
func BenchmarkCapacityMembership(b *testing.B) {
	for _, n := range []int{12, 50, 100, 410} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			net := newNetwork(n, uint64(n))
			before := heapBytes()
			net.settle(60 * time.Second)
			net.queue = append(events{}, net.queue...)
			state := float64(heapBytes()-before) / float64(n)
			bytes, _ := traffic(net, 20*time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += n {
				net.run(membership.Defaults().Interval)
			}
			b.ReportMetric(state, "state-B/op")
			b.ReportMetric(float64(bytes), "sent-B/s")
		})
	}
}

// heapBytes returns the size of live heap objects, in bytes.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
