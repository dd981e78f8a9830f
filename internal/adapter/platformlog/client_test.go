package platformlog

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
)

var _ port.Log = (*Client)(nil)

func logErrorOf(t *testing.T, err error) *port.LogError {
	t.Helper()
	var failed *port.LogError
	if !errors.As(err, &failed) {
		t.Fatalf("no *port.LogError: %v", err)
	}
	return failed
}

func reply(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func hang(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestAppendClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		handler   http.HandlerFunc
		ambiguous bool
		limited   bool
	}{
		"rate limit":             {reply(429, ""), false, true},
		"wrong request":          {reply(400, ""), false, false},
		"server fault":           {reply(500, ""), true, false},
		"gateway timeout":        {reply(504, ""), true, false},
		"unavailable":            {reply(503, ""), true, false},
		"redirect":               {reply(307, ""), true, false},
		"cut":                    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, false},
		"answer that is garbage": {reply(200, `{"offs`), true, false},
		"no answer in time":      {hang, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := New(server.URL).Append(ctx, "s", [][]byte{{1}})
			is.Equal(logErrorOf(t, err).Ambiguous, c.ambiguous)
			is.Equal(logErrorOf(t, err).Limited, c.limited)
		})
	}
}

func TestAppendThatNeverLeftIsNotAmbiguous(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(server.URL).Append(t.Context(), "s", [][]byte{{1}})
	is.True(!logErrorOf(t, err).Ambiguous)
}

func TestReadRefusesRecordsOutOfOrder(t *testing.T) {
	cases := map[string]bool{
		`{"Records":[{"Offset":3},{"Offset":4}],"Oldest":0,"End":5}`: true,
		`{"Records":[{"Offset":7},{"Offset":8}],"Oldest":7,"End":9}`: true,
		`{"Records":[{"Offset":4}],"Oldest":0,"End":5}`:              false,
		`{"Records":[{"Offset":3},{"Offset":5}],"Oldest":0,"End":6}`: false,
		`{"Records":[{"Offset":2}],"Oldest":0,"End":5}`:              false,
	}
	for body, good := range cases {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(reply(200, body))
			defer server.Close()
			_, err := New(server.URL).Read(t.Context(), "s", 3, 0)
			is.Equal(err == nil, good)
		})
	}
}
