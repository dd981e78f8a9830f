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

func anyConn(ConnectionID) bool { return false }

// exchange sends a request on a connection and releases the connection.
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

// A request that needs a recently used connection leaves an older one in the pool.
// Non-idempotent requests used to close connections that idempotent ones could have
// reused, and opening connections has a cost.
func TestOlderConnectionStaysInThePool(t *testing.T) {
	is := is.New(t)
	r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "r"})
	is.NoErr(err)
	defer r.Close()
	p := NewPool(tally.NoopScope)
	defer p.Close()
	target := Target{ID: "r", Address: r.Address()}
	c, err := p.Connect(context.Background(), target, time.Minute, anyConn)
	is.NoErr(err)
	exchange(is, c, "a")
	time.Sleep(2 * time.Millisecond)
	fresh, err := p.Connect(context.Background(), target, time.Millisecond, anyConn)
	is.NoErr(err)
	is.True(!fresh.Reused)
	old, err := p.Connect(context.Background(), target, time.Minute, anyConn)
	is.NoErr(err)
	is.True(old.Reused)
	exchange(is, old, "b")
	exchange(is, fresh, "c")
	is.Equal(r.Opened(), 2)
}
