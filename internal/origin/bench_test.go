package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
)

func batchOf(streams int) []pending {
	batch := make([]pending, streams)
	for i := range batch {
		batch[i] = pending{start: origin.Start{Stream: origin.Stream(i) << 40, Release: fleet.Release{Service: "dele69a", Version: fmt.Sprint("v", i%2)}, At: time.Now()}}
	}
	return batch
}

// BenchmarkEncode measures the processor time and the size of one append, by its number of
// streams of two versions.
func BenchmarkEncode(b *testing.B) {
	for _, streams := range []int{1, 4, 32} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			batch := batchOf(streams)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(encode(batch, time.Now()))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(streams), "B/stream")
		})
	}
}

// BenchmarkIndex measures what it takes to add a read start, as after a fall of all hosts.
func BenchmarkIndex(b *testing.B) {
	r := newReader(Params{}, 1, func() time.Duration { return time.Minute }, logr.Discard(), newMetrics(tally.NoopScope))
	data, err := proto.Marshal(encode(batchOf(4), time.Now()))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		r.add([][]byte{data})
	}
}
