package peer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/port"
)

// BenchmarkCall measures a forwarded call over loopback by the size of its
// input in bytes. Client and server run in one process.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			is := is.New(b)
			h := &owner{call: func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
				return answerTo(c), nil
			}}
			programs := benchClient(b, peer.Handlers{Programs: h})
			input, err := json.Marshal(string(bytes.Repeat([]byte("x"), size)))
			is.NoErr(err)
			call := port.Call{ProgramID: "k.1", Seq: 1, RequestID: "r", Input: input}
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				if _, err := programs.Call(context.Background(), call, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func benchClient(b *testing.B, h peer.Handlers) port.Programs {
	client := peer.NewClient(peer.ClientParams{})
	b.Cleanup(client.Close)
	return client.Programs(serve(b, h, nil))
}
