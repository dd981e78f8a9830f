package service

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

var _ port.Service = (*Client)(nil)

func TestInvokeClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    port.Failure
	}{
		"429 did not run":                     {testutil.Reply(429, ""), port.FailureBusy},
		"503 of a draining service":           {testutil.Reply(503, `{"failure":"draining"}`), port.FailureDraining},
		"422 is rejected":                     {testutil.Reply(422, ""), port.FailureRejected},
		"500 may have run":                    {testutil.Reply(500, ""), port.FailureBroken},
		"502 may have run":                    {testutil.Reply(502, `{"failure":"refused"}`), port.FailureBroken},
		"connection closed without an answer": {testutil.AbortConnection, port.FailureBroken},
		"answer of another request":           {testutil.Reply(200, `{"request_id":"s","output":1}`), port.FailureMismatch},
		"answer of no request":                {testutil.Reply(200, `{"output":1}`), port.FailureMismatch},
		"truncated answer":                    {testutil.Reply(200, `{"request_id":"r","outp`), port.FailureBroken},
		"no answer in time":                   {testutil.Hang, port.FailureTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := New().Invoke(ctx, port.Target{Address: server.URL}, port.ServiceCall{RequestID: "r"})
			is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, c.want)
		})
	}
}

func TestInvokeNotSentDidNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New().Invoke(t.Context(), port.Target{Address: server.URL}, port.ServiceCall{})
	is.True(testutil.ErrorAs[*port.TargetError](t, err).NotRun())

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = New().Invoke(cancelled, port.Target{Address: server.URL}, port.ServiceCall{})
	is.True(testutil.ErrorAs[*port.TargetError](t, err).NotRun())
}

// When a server closes a pooled connection, it is unknown whether the next call on
// it ran. Non-idempotent calls must therefore not reuse connections.
func TestInvokeDialsForEachNonIdempotentCall(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	server := httptest.NewUnstartedServer(testutil.Reply(200, `{"request_id":"r"}`))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dials.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := New()
	target := port.Target{Address: server.URL}
	for _, idempotent := range []bool{true, true, true, false, false} {
		_, err := client.Invoke(t.Context(), target, port.ServiceCall{RequestID: "r", Idempotent: idempotent})
		is.NoErr(err)
	}
	is.Equal(dials.Load(), int64(3)) // one pooled, and one for each non-idempotent call
}

func TestOutcome(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(testutil.Reply(200, `{"known":true,"ran":true,"request_id":"r","output":{"a":1}}`))
	defer server.Close()
	target := port.Target{Address: server.URL}
	result, ran, known, err := New().Outcome(t.Context(), target, "ledger", "r")
	is.NoErr(err)
	is.True(ran && known)
	is.Equal(string(result.Output), `{"a":1}`)
	_, _, known, err = New().Outcome(t.Context(), target, "ledger", "other")
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, port.FailureMismatch)
	is.True(!known)
}
