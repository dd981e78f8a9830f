package httpapi_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"yuccausher/internal/port"
)

// BenchmarkCapacityStreamedDeltas serves one streamed call of n deltas to a
// caller over loopback. The time includes the caller's reading.
func BenchmarkCapacityStreamedDeltas(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			f := start(b, nil)
			f.programs.call = func(_ context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
				for i := range n {
					if err := sink(port.Delta{Offset: int64(i) * 4, Text: "word"}); err != nil {
						return port.Answer{}, err
					}
				}
				return answerTo(c), nil
			}
			body := `{"seq":1,"request_id":"r","kind":"model","model":"m","input":"in","max_tokens":10,"stream":true}`
			b.ReportAllocs()
			for b.Loop() {
				reply, err := http.Post(f.url+"/v1/programs/k.1/calls", "application/json", strings.NewReader(body))
				f.NoErr(err)
				_, err = io.Copy(io.Discard, reply.Body)
				f.NoErr(err)
				f.NoErr(reply.Body.Close())
			}
		})
	}
}
