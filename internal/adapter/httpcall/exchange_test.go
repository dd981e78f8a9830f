package httpcall

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/testutil"
)

// A host that pauses between its decision and its write must not write after the
// send deadline: its successor waits only until then.
func TestNothingIsWrittenAfterSendDeadline(t *testing.T) {
	is := is.New(t)
	server, client := net.Pipe()
	defer server.Close()
	call := &exchange{sendDeadline: time.Now().Add(-time.Nanosecond)}
	_, err := (&trackedConn{Conn: client, call: call}).Write([]byte("a"))
	testutil.ErrorAs[*SendDeadlineError](t, err)
	is.True(!call.sent.Load())
}

func TestCallPastSendDeadlineIsNotSent(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	for _, c := range []*Client{New(), NewUnpooled()} {
		_, _, err := c.DoWithSendDeadline(t.Context(), time.Now().Add(-time.Second), http.MethodPost, server.URL, nil)
		is.True(!testutil.ErrorAs[*TransportError](t, err).Sent)
		_, _, err = c.DoWithSendDeadline(t.Context(), time.Now().Add(time.Minute), http.MethodPost, server.URL, nil)
		is.NoErr(err)
	}
	is.Equal(calls.Load(), int64(2))
}

// expireAfterWrite expires the send deadline once the first bytes are written.
type expireAfterWrite struct {
	net.Conn
	call *exchange
}

func (c expireAfterWrite) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.call.sendDeadline = time.Now().Add(-time.Second)
	return n, err
}

func TestCallExpiredDuringWriteMayHaveBeenSent(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(testutil.Reply(http.StatusOK, ""))
	defer server.Close()
	inner, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer inner.Close()
	call := &exchange{sendDeadline: time.Now().Add(time.Hour)}
	conn := &trackedConn{Conn: expireAfterWrite{inner, call}, call: call}
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\n"))
	is.NoErr(err)
	_, err = conn.Write([]byte("Content-Length: 0\r\n\r\n"))
	testutil.ErrorAs[*SendDeadlineError](t, err)
	is.True(call.sent.Load())
}
