package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/standin/replica"
)

// exchange makes a request on a connection and gives that back.
func exchange(is *is.I, c *Conn, id string) {
	is.Helper()
	header := http.Header{"Request-Id": {id}}
	response, err := c.Exchange(context.Background(), Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: header}, func(http.Header) bool { return true })
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(bytes.HasSuffix(body, []byte(id)))
	c.Release()
}

// A request that wants a fresh connection leaves an older one to others. Postings
// dropped connections that lookups would have used; connections are priced.
func TestOlderConnectionIsLeftToOthers(t *testing.T) {
	is := is.New(t)
	r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "r"})
	is.NoErr(err)
	defer r.Close()
	p := NewPool(tally.NoopScope)
	defer p.Close()
	target := Target{ID: "r", Address: r.Address()}
	c, err := p.Connect(context.Background(), target, time.Minute)
	is.NoErr(err)
	exchange(is, c, "a")
	time.Sleep(2 * time.Millisecond)
	fresh, err := p.Connect(context.Background(), target, time.Millisecond)
	is.NoErr(err)
	is.True(!fresh.Reused)
	old, err := p.Connect(context.Background(), target, time.Minute)
	is.NoErr(err)
	is.True(old.Reused)
	exchange(is, old, "b")
	exchange(is, fresh, "c")
	is.Equal(r.Opened(), 2)
}
