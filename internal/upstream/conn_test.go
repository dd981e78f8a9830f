package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// pipeTo returns a pool with one idle connection to a target, which answers each request with
// its path a second after it has arrived.
func pipeTo(t *testing.T, target Target) *Pool {
	t.Helper()
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer func() { _ = far.Close() }()
		for reader := bufio.NewReader(far); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(time.Second)
			if _, err := fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path); err != nil {
				return
			}
		}
	}()
	p := NewPool(tally.NoopScope)
	source := &limitedReader{Reader: near}
	p.putIdle(&connection{Conn: near, id: 1, reader: bufio.NewReaderSize(source, readBufferBytes), source: source, target: target, idleTimeout: time.Minute})
	t.Cleanup(func() {
		_ = near.Close()
		<-served
	})
	return p
}

func get(ctx context.Context, c *Conn, path string) (*http.Response, error) {
	return c.Exchange(ctx, Request{Method: http.MethodGet, URI: path, Host: "h", Header: http.Header{}}, func(http.Header) bool { return true })
}

// The context of an earlier request used to fail the request that used the connection next.
func TestEarlierUserHasNoEffectOnTheNext(t *testing.T) {
	lateActs := map[string]func(c *Conn, response *http.Response, cancel func()){
		"context ends":    func(_ *Conn, _ *http.Response, cancel func()) { cancel() },
		"released again":  func(c *Conn, _ *http.Response, _ func()) { c.Release() },
		"aborted":         func(c *Conn, _ *http.Response, _ func()) { c.Abort() },
		"drained":         func(c *Conn, response *http.Response, _ func()) { c.Drain(response) },
		"body is closed":  func(_ *Conn, response *http.Response, _ func()) { _ = response.Body.Close() },
		"body is read on": func(_ *Conn, response *http.Response, _ func()) { _, _ = io.Copy(io.Discard, response.Body) },
	}
	for name, act := range lateActs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := Target{ID: "r"}
				p := pipeTo(t, target)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				first, err := p.Connect(ctx, target, time.Minute, anyConn)
				is.NoErr(err)
				earlier, err := get(ctx, first, "/first")
				is.NoErr(err)
				_, err = io.Copy(io.Discard, earlier.Body)
				is.NoErr(err)
				first.Release()
				second, err := p.Connect(t.Context(), target, time.Minute, anyConn)
				is.NoErr(err)
				is.True(second.Reused)
				time.AfterFunc(time.Second/2, func() { act(first, earlier, cancel) })
				response, err := get(t.Context(), second, "/second")
				is.NoErr(err)
				is.True(!second.reusable) // its body has not been read
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), "/second")
				second.Release()
				is.Equal(len(p.idle[target]), 1)
			})
		})
	}
}

// The connection is closed if its request was cancelled before it was given back.
func TestCancelledExchangeClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := Target{ID: "r"}
		p := pipeTo(t, target)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		c, err := p.Connect(ctx, target, time.Minute, anyConn)
		is.NoErr(err)
		_, err = get(ctx, c, "/x")
		is.True(errors.Is(err, context.DeadlineExceeded))
		c.Release()
		is.Equal(len(p.idle[target]), 0)
	})
}
