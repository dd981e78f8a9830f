package entry_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/core/partition"
)

// BenchmarkFindOwner measures the search for an owner that another host
// names, and one by rendezvous order alone, among as many hosts as a large
// fleet has.
func BenchmarkFindOwner(b *testing.B) {
	const hosts = 410
	var ids []string
	table := make(map[string]callFunc)
	for i := range hosts {
		id := fmt.Sprintf("10.0.%03d.%03d:1", i/250, i%250)
		ids = append(ids, id)
		table[id] = answers(id)
	}
	m := newMembers(ids...)
	call := modelCall("k.1")
	first := partition.PreferredHost(partition.Of(call.ProgramID, 64), ids)
	for name, local := range map[string]callFunc{
		"local":      answers("here"),
		"named":      notOwner(first),
		"rendezvous": notOwner(""),
	} {
		b.Run(name, func(b *testing.B) {
			r := newRouter(m, local, table, nil)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Call(context.Background(), call, nil); err != nil {
					is.New(b).NoErr(err)
				}
			}
		})
	}
}
