package route

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func table() *Table {
	return NewTable(Document{Version: 3, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, Services: []Service{{Name: "s", MaxConnections: 5}}})
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/X/1", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		is.New(t).Equal(got, c.want)
	}
}

func TestServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		counts[r.Service(strconv.Itoa(i))]++
	}
	is.True(counts["a"] > 8800 && counts["a"] < 9200)
	is.Equal(counts["a"]+counts["b"], 10000)
	is.Equal(r.Service("same"), r.Service("same"))
	none := Route{Shares: []Share{{Service: "a"}, {Service: "b"}}}
	is.Equal(none.Service("x"), "")
}

func TestHolderNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var h Holder
	is.True(h.StoreIfNewer(&Table{Version: 4}))
	is.True(!h.StoreIfNewer(&Table{Version: 4}))
	is.True(!h.StoreIfNewer(&Table{Version: 3}))
	is.True(h.StoreIfNewer(&Table{Version: 9}))
	is.Equal(h.Current().Version, int64(9))
}

func TestIdempotent(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).IsIdempotent())
	is.True(!(&Route{Kind: Once}).IsIdempotent())
	is.True(!(&Route{Kind: Stream}).IsIdempotent())
	is.True((&Route{Kind: Stream, Resumable: true}).IsIdempotent())
}
