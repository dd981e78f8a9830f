package config_test

import (
	"fmt"
	"testing"

	"yuccausher/internal/core/config"
)

// BenchmarkCapacityConfig measures parsing, validation and indexing of a
// document by its number of firms, each with one agent.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, firms := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("n=%d", firms), func(b *testing.B) {
			data := encode(document(firms))
			b.ReportAllocs()
			for b.Loop() {
				d, err := config.Check(data, nil)
				if err != nil {
					b.Fatal(err)
				}
				config.NewSnapshot(1, d)
			}
			b.ReportMetric(float64(len(data)), "document-B/op")
		})
	}
}
