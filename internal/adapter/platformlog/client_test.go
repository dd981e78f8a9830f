package platformlog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

var _ port.Log = (*Client)(nil)

func TestAppendClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		handler   http.HandlerFunc
		ambiguous bool
		limited   bool
	}{
		"rate limit":             {testutil.Reply(429, ""), false, true},
		"bad request":            {testutil.Reply(400, ""), false, false},
		"server error":           {testutil.Reply(500, ""), true, false},
		"gateway timeout":        {testutil.Reply(504, ""), true, false},
		"unavailable":            {testutil.Reply(503, ""), true, false},
		"redirect":               {testutil.Reply(307, ""), true, false},
		"connection closed":      {testutil.AbortConnection, true, false},
		"invalid JSON in answer": {testutil.Reply(200, `{"offs`), true, false},
		"no answer in time":      {testutil.Hang, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := New(server.URL).Append(ctx, "s", [][]byte{{1}})
			is.Equal(testutil.ErrorAs[*port.LogError](t, err).Ambiguous, c.ambiguous)
			is.Equal(testutil.ErrorAs[*port.LogError](t, err).RateLimited, c.limited)
		})
	}
}

func TestAppendNotSentIsNotAmbiguous(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(server.URL).Append(t.Context(), "s", [][]byte{{1}})
	is.True(!testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
}

func TestReadRejectsRecordsOutOfOrder(t *testing.T) {
	cases := map[string]bool{
		`{"Records":[{"Offset":3},{"Offset":4}],"Oldest":0,"End":5}`: true,
		`{"Records":[{"Offset":7},{"Offset":8}],"Oldest":7,"End":9}`: true,
		`{"Records":[{"Offset":4}],"Oldest":0,"End":5}`:              false,
		`{"Records":[{"Offset":3},{"Offset":5}],"Oldest":0,"End":6}`: false,
		`{"Records":[{"Offset":2}],"Oldest":0,"End":5}`:              false,
	}
	for body, valid := range cases {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(testutil.Reply(200, body))
			defer server.Close()
			_, err := New(server.URL).Read(t.Context(), "s", 3, 0)
			is.Equal(err == nil, valid)
		})
	}
}
