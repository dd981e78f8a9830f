package testutil

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// ErrorAs returns the error of type T in err's chain, or fails the test.
func ErrorAs[T error](t testing.TB, err error) T {
	t.Helper()
	var found T
	if !errors.As(err, &found) {
		t.Fatalf("no %T in %v", found, err)
	}
	return found
}

// Reply returns a handler that answers each request with a status and a body.
func Reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		readAll(r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Hang is a handler that does not answer and returns when the client disconnects.
func Hang(_ http.ResponseWriter, r *http.Request) {
	readAll(r)
	<-r.Context().Done()
}

// AbortConnection is a handler that closes the connection of each request
// without an answer.
func AbortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// readAll reads the complete request. Until then an HTTP server does not detect
// that its client disconnects.
func readAll(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

// RawAnswer returns a handler that sends bytes in place of an answer, before it reads the request's body,
// and then closes the connection. If isReset is set, it resets the connection.
func RawAnswer(answer string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		// A caller that has gone needs no answer.
		_, _ = io.WriteString(c, answer)
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}
