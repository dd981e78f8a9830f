package peer_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/port"
)

// BenchmarkCapacityForwardedDeltas forwards one streamed call of n deltas from
// one host to another over loopback. The time covers both hosts.
func BenchmarkCapacityForwardedDeltas(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			o := &owner{call: func(_ context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
				for i := range n {
					if err := sink(port.Delta{Offset: int64(i) * 4, Text: "word"}); err != nil {
						return port.Answer{}, err
					}
				}
				return answerTo(c), nil
			}}
			host := serve(b, peer.Handlers{Programs: o}, tally.NoopScope)
			client, _ := newClient(b)
			programs := client.Programs(host)
			is := is.New(b)
			call := port.Call{ProgramID: "a.b", Seq: 1, RequestID: "r", Kind: port.KindModel, Input: []byte(`"in"`), Stream: true}
			b.ReportAllocs()
			for b.Loop() {
				_, err := programs.Call(context.Background(), call, func(port.Delta) error { return nil })
				is.NoErr(err)
			}
		})
	}
}
