package hostlist_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/adapter/hostlist"
	"yuccausher/internal/port"
)

// BenchmarkCapacityTargetList reads an unchanged list of n targets. read-B/op is
// the number of body bytes transferred per read.
func BenchmarkCapacityTargetList(b *testing.B) {
	for _, n := range []int{10, 100, 600, 2400} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			is := is.New(b)
			var entries []port.ListedTarget
			for i := range n {
				entries = append(entries, port.ListedTarget{Name: fmt.Sprint("large-", i)})
			}
			body, err := json.Marshal(entries)
			is.NoErr(err)
			sent := 0
			s := httptest.NewServer(listHandler(body, &sent))
			defer s.Close()
			c := hostlist.New(s.URL)
			defer c.Close()
			for b.Loop() {
				_, err := c.Targets(b.Context())
				is.NoErr(err)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "read-B/op")
		})
	}
}

// listHandler serves a list with an entity tag and counts the bytes it sends.
func listHandler(body []byte, sent *int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		written, _ := w.Write(body)
		*sent += written
	})
}

// TestUnchangedListIsTransferredOnce checks that a hundred reads of an unchanged
// list transfer the body once.
func TestUnchangedListIsTransferredOnce(t *testing.T) {
	is := is.New(t)
	body := []byte(`[{"Name":"large-1","Leaving":true}]`)
	sent := 0
	s := httptest.NewServer(listHandler(body, &sent))
	defer s.Close()
	c := hostlist.New(s.URL)
	defer c.Close()
	for range 100 {
		entries, err := c.Targets(t.Context())
		is.NoErr(err)
		is.Equal(entries, []port.ListedTarget{{Name: "large-1", Leaving: true}})
	}
	is.Equal(sent, len(body))
}
