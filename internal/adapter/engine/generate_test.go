package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

var _ port.Engine = (*Client)(nil)

func startServer(t *testing.T, handler http.HandlerFunc) port.Target {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return port.Target{Name: "m-a", Address: server.URL}
}

func replyEvents(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream;charset=utf-8")
		_, _ = io.WriteString(w, text)
	}
}

// abortAfter sends text as events and then closes the connection abruptly.
func abortAfter(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		replyEvents(text)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

const (
	firstDelta = `event:delta` + "\n" + `data:{"program_id":"p","request_id":"r","offset":0,"text":"the "}` + "\n\n"
	lastDelta  = `event:delta` + "\n" + `data:{"program_id":"p","request_id":"r","offset":4,"text":"sum"}` + "\n\n"
	done       = `event:done` + "\n" + `data:{"program_id":"p","request_id":"r","output":"the sum","usage":{"output_tokens":2}}` + "\n\n"
	otherDelta = `event:delta` + "\n" + `data:{"program_id":"q","request_id":"s","offset":4,"text":"sum"}` + "\n\n"
	otherDone  = `event:done` + "\n" + `data:{"program_id":"p","request_id":"s","output":"the sum"}` + "\n\n"
	failed     = `event:error` + "\n" + `data:{"failure":"busy","message":"no"}` + "\n\n"
)

func TestGenerateClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    port.Failure
		output  int64
	}{
		"429 is busy":                         {testutil.Reply(429, ""), port.FailureBusy, 0},
		"503 is busy":                         {testutil.Reply(503, "x"), port.FailureBusy, 0},
		"503 of a draining engine":            {testutil.Reply(503, `{"failure":"draining"}`), port.FailureDraining, 0},
		"400 is rejected":                     {testutil.Reply(400, `{"failure":"busy"}`), port.FailureRejected, 0},
		"500 may have run":                    {testutil.Reply(500, `{"failure":"refused"}`), port.FailureBroken, 0},
		"redirect may have run":               {testutil.Reply(307, ""), port.FailureBroken, 0},
		"connection closed before the answer": {testutil.AbortConnection, port.FailureBroken, 0},
		"connection closed within the stream": {abortAfter(firstDelta), port.FailureBroken, 4},
		"end without a final event":           {replyEvents(firstDelta + lastDelta), port.FailureBroken, 7},
		"not an event stream":                 {testutil.Reply(200, "{}"), port.FailureBroken, 0},
		"gap between deltas":                  {replyEvents(lastDelta), port.FailureBroken, 0},
		"repeated delta":                      {replyEvents(firstDelta + firstDelta), port.FailureBroken, 4},
		"final event before all deltas":       {replyEvents(firstDelta + done), port.FailureBroken, 4},
		"delta of another request":            {replyEvents(firstDelta + otherDelta), port.FailureMismatch, 4},
		"final event of another request":      {replyEvents(firstDelta + lastDelta + otherDone), port.FailureMismatch, 7},
		"invalid JSON":                        {replyEvents("event:delta\ndata:{\n\n"), port.FailureBroken, 0},
		"unknown event":                       {replyEvents("event:ping\ndata:1\n\n"), port.FailureBroken, 0},
		"busy within a stream may have run":   {replyEvents(firstDelta + failed), port.FailureBroken, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := port.ModelCall{ProgramID: "p", RequestID: "r"}
			_, err := New().Generate(t.Context(), startServer(t, c.handler), call, nil)
			is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, c.want)
			is.Equal(testutil.ErrorAs[*port.TargetError](t, err).OutputBytes, c.output)
		})
	}
}

func TestGenerateNotRunOnRefusedDial(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New().Generate(t.Context(), port.Target{Address: server.URL}, port.ModelCall{}, nil)
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, port.FailureRefused)
	is.True(testutil.ErrorAs[*port.TargetError](t, err).NotRun())
}

func TestGenerateTimesOut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := New().Generate(ctx, startServer(t, testutil.Hang), port.ModelCall{}, nil)
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, port.FailureTimeout)
}

func TestGenerateTimesOutOnIdleStream(t *testing.T) {
	is := is.New(t)
	client := New()
	client.idleTimeout = 50 * time.Millisecond
	silent := func(w http.ResponseWriter, r *http.Request) {
		replyEvents(firstDelta)(w, r)
		_ = http.NewResponseController(w).Flush()
		testutil.Hang(w, r)
	}
	call := port.ModelCall{ProgramID: "p", RequestID: "r"}
	_, err := client.Generate(t.Context(), startServer(t, silent), call, nil)
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, port.FailureTimeout)
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).OutputBytes, int64(4))
}

func TestGenerateReturnsCompleteAnswer(t *testing.T) {
	is := is.New(t)
	var streamed string
	call := port.ModelCall{ProgramID: "p", RequestID: "r"}
	result, err := New().Generate(t.Context(), startServer(t, replyEvents(firstDelta+lastDelta+done)), call, func(d port.Delta) error {
		streamed += d.Text
		return nil
	})
	is.NoErr(err)
	is.Equal(streamed, "the sum")
	is.Equal(result, port.ModelResult{ProgramID: "p", RequestID: "r", Output: "the sum", Usage: port.Usage{OutputTokens: 2}})
}

func TestOrderWithOutdatedEpochIsFenced(t *testing.T) {
	is := is.New(t)
	err := New().Order(t.Context(), startServer(t, testutil.Reply(409, `{"failure":"fenced"}`)), port.Order{})
	is.Equal(testutil.ErrorAs[*port.TargetError](t, err).Failure, port.FailureFenced)
}
