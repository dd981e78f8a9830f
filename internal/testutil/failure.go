package testutil

import (
	"errors"
	"io"
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

// Reply answers each request with a status and a body.
func Reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		readAll(r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Hang answers no request and returns when the client has gone.
func Hang(_ http.ResponseWriter, r *http.Request) {
	readAll(r)
	<-r.Context().Done()
}

// Cut breaks the connection of each request.
func AbortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// readAll reads the whole request, without which a server does not see that
// its client goes.
func readAll(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
