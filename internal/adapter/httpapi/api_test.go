package httpapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// programs is a fake of the router.
type programs struct {
	spec port.ProgramSpec
	got  port.Call
	err  error
	call func(context.Context, port.Call, port.Sink) (port.Answer, error)
}

func (p *programs) Open(_ context.Context, s port.ProgramSpec) (port.ProgramView, error) {
	p.spec = s
	return port.ProgramView{ProgramID: "k.1", NextSeq: 1}, p.err
}

func (p *programs) Call(ctx context.Context, c port.Call, s port.Sink) (port.Answer, error) {
	p.got = c
	if p.call != nil {
		return p.call(ctx, c, s)
	}
	return answerTo(c), p.err
}

func answerTo(c port.Call) port.Answer {
	return port.Answer{ProgramID: c.ProgramID, Seq: c.Seq, RequestID: c.RequestID, Output: json.RawMessage(`"<b>"`), Target: "t"}
}

func (p *programs) Program(_ context.Context, id string) (port.ProgramView, error) {
	return port.ProgramView{ProgramID: id, State: port.ProgramOpen}, p.err
}

func (p *programs) History(context.Context, string) ([]port.Turn, error) {
	return []port.Turn{{Seq: 1, RequestID: "r", Kind: port.KindModel, Input: json.RawMessage(`{"a":1.50}`)}}, p.err
}

func (p *programs) Answer(_ context.Context, id string, seq int64) (port.Answer, bool, error) {
	return port.Answer{ProgramID: id, Seq: seq, Output: json.RawMessage(`1`)}, seq == 9, p.err
}

func (p *programs) End(_ context.Context, id string) (port.ProgramView, error) {
	return port.ProgramView{ProgramID: id, State: port.ProgramEnded}, p.err
}

// operations is a fake of the host.
type operations struct {
	drained bool
	ready   error
}

func (o *operations) Hosts() []port.Member {
	return []port.Member{{Host: port.Host{ID: "h"}, State: port.MemberAlive}}
}
func (o *operations) Targets() []port.TargetView       { return nil }
func (o *operations) Partitions() []port.PartitionView { return []port.PartitionView{{Partition: 3}} }
func (o *operations) Ready() error                     { return o.ready }
func (o *operations) Drain(context.Context) error      { o.drained = true; return nil }

// configuration is a fake of the configuration in force.
type configuration struct {
	version  int64
	document string
	err      error
	base     int64
}

func (f *configuration) Current() (int64, []byte, bool) {
	return f.version, []byte(f.document), f.version > 0
}

func (f *configuration) Publish(_ context.Context, base int64, _ []byte) (int64, error) {
	f.base = base
	return base + 4, f.err
}

func document() *config.Document {
	return &config.Document{
		Partitions:    8,
		Organisations: []config.Organisation{{Name: "pc"}, {Name: "brunner"}},
		Agents:        []config.Agent{{Name: "inquiry", Organisation: "pc", Class: "normal"}},
		Classes:       []config.Class{{Name: "normal"}, {Name: "urgent"}},
		Models:        []config.Model{{Name: "m", MaxOutputTokens: 100}},
		Services: []config.Service{{Name: "ledger", Operations: []config.Operation{
			{Name: "read", Idempotent: true}, {Name: "post"},
		}}},
	}
}

type fixture struct {
	*is.I
	programs   *programs
	operations *operations
	config     *configuration
	scope      tally.TestScope
	url        string
}

func start(t testing.TB, change func(*httpapi.Params)) *fixture {
	f := &fixture{
		I: is.New(t), programs: &programs{}, operations: &operations{},
		config: &configuration{version: 7, document: `{"format":1}`},
		scope:  tally.NewTestScope("", nil),
	}
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(7, document()))
	p := httpapi.Params{
		Programs: f.programs, Snapshots: holder, Configuration: f.config, Operations: f.operations,
		Limits: httpapi.DefaultLimits(), Log: logr.Discard(), Scope: f.scope,
	}
	if change != nil {
		change(&p)
	}
	s := httptest.NewUnstartedServer(nil)
	s.Config = httpapi.New(p).Server()
	s.Start()
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fixture) send(method, path, body string, header ...string) (int, string, http.Header) {
	f.Helper()
	q, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	f.NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	reply, err := http.DefaultClient.Do(q)
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	f.NoErr(err)
	return reply.StatusCode, strings.TrimSpace(string(data)), reply.Header
}

type errorReply struct {
	Error struct {
		Type         string        `json:"type"`
		Run          string        `json:"run"`
		Message      string        `json:"message"`
		RequestID    *string       `json:"request_id"`
		RetryAfterMS int64         `json:"retry_after_ms"`
		Fields       []fault.Field `json:"fields"`
	} `json:"error"`
}

func (f *fixture) failure(body string) errorReply {
	f.Helper()
	var r errorReply
	f.NoErr(json.Unmarshal([]byte(body), &r))
	f.True(r.Error.RequestID != nil)
	return r
}

const (
	goodOpen    = `{"firm":"pc","agent":"inquiry","budget":{"tokens":50},"deadline_ms":1500,"request_id":"r1"}`
	goodModel   = `{"seq":1,"request_id":"r1","kind":"model","model":"m","input":{"q":[null,1.50]},"max_tokens":9,"timeout_ms":250}`
	goodService = `{"seq":2,"request_id":"r2","kind":"service","service":"ledger","operation":"read","input":null,"idempotent":true}`
)

func TestOpenProgram(t *testing.T) {
	f := start(t, nil)
	status, body, _ := f.send("POST", "/v1/programs", goodOpen)
	f.Equal(status, 201)
	f.Equal(body, `{"program_id":"k.1","next_seq":1}`)
	f.Equal(f.programs.spec, port.ProgramSpec{
		Organisation: "pc", Agent: "inquiry", Class: "normal", BudgetTokens: 50,
		Deadline: 1500 * time.Millisecond, RequestID: "r1",
	})
}

func TestCallsReachTheRouterAsGiven(t *testing.T) {
	f := start(t, nil)
	status, body, _ := f.send("POST", "/v1/programs/k.1/calls", goodModel)
	f.Equal(status, 200)
	f.Equal(body, `{"program_id":"k.1","seq":1,"request_id":"r1","output":"<b>","usage":{"prompt_tokens":0,"cached_tokens":0,"output_tokens":0},"target":"t","turn_digest":""}`)
	f.Equal(f.programs.got, port.Call{
		ProgramID: "k.1", Seq: 1, RequestID: "r1", Kind: port.KindModel, Model: "m",
		MaxTokens: 9, Input: json.RawMessage(`{"q":[null,1.50]}`), Timeout: 250 * time.Millisecond,
	})
	status, _, _ = f.send("POST", "/v1/programs/k.1/calls", goodService)
	f.Equal(status, 200)
	f.Equal(f.programs.got.Input, json.RawMessage(`null`))
	f.True(f.programs.got.Idempotent)
}

// TestIdempotencyIsOnlyNarrowed: what the configuration calls non-idempotent
// stays so, whatever the caller says.
func TestIdempotencyIsOnlyNarrowed(t *testing.T) {
	f := start(t, nil)
	cases := []struct {
		operation, given string
		want             bool
	}{
		{"read", ``, true},
		{"read", `,"idempotent":true`, true},
		{"read", `,"idempotent":false`, false},
		{"post", ``, false},
		{"post", `,"idempotent":true`, false},
		{"other", `,"idempotent":true`, false},
	}
	for _, c := range cases {
		body := `{"seq":1,"request_id":"r","kind":"service","service":"ledger","operation":"` + c.operation + `","input":1` + c.given + `}`
		status, _, _ := f.send("POST", "/v1/programs/k.1/calls", body)
		f.Equal(status, 200)
		f.Equal(f.programs.got.Idempotent, c.want)
	}
}

func TestWrongRequestsNameTheField(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Limits.MaxBodyBytes = 2000 })
	calls := "/v1/programs/k.1/calls"
	cases := []struct{ path, body, field string }{
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","budget":{"tokens":50},"request_id":"r1","x":1}`, "x"},
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","budget":{"tokens":50,"y":1},"request_id":"r1"}`, "y"},
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","budget":{"tokens":50}}`, "request_id"},
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","request_id":"r1"}`, "budget.tokens"},
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","budget":{"tokens":0},"request_id":"r1"}`, "budget.tokens"},
		{"/v1/programs", `{"firm":"pc","agent":"inquiry","budget":{"tokens":"5"},"request_id":"r1"}`, "budget.tokens"},
		{"/v1/programs", strings.Replace(goodOpen, "pc", "no", 1), "firm"},
		{"/v1/programs", strings.Replace(goodOpen, "pc", "brunner", 1), "agent"},
		{"/v1/programs", strings.Replace(goodOpen, "inquiry", "no", 1), "agent"},
		{"/v1/programs", strings.Replace(goodOpen, `{`, `{"class":"no",`, 1), "class"},
		{"/v1/programs", strings.Replace(goodOpen, "1500", "0", 1), "deadline_ms"},
		{"/v1/programs", strings.Replace(goodOpen, "r1", strings.Repeat("r", 257), 1), "request_id"},
		{"/v1/programs", goodOpen + `{}`, ""},
		{"/v1/programs", `[]`, ""},
		{"/v1/programs", ``, ""},
		{"/v1/programs", `{"firm":"` + strings.Repeat("x", 2000) + `"}`, ""},
		{calls, strings.Replace(goodModel, `"seq":1`, `"seq":0`, 1), "seq"},
		{calls, strings.Replace(goodModel, `"seq":1`, `"seq":1.5`, 1), "seq"},
		{calls, strings.Replace(goodModel, `"kind":"model"`, `"kind":"x"`, 1), "kind"},
		{calls, strings.Replace(goodModel, `"model":"m"`, `"model":"x"`, 1), "model"},
		{calls, strings.Replace(goodModel, `"max_tokens":9`, `"max_tokens":101`, 1), "max_tokens"},
		{calls, strings.Replace(goodModel, `"timeout_ms":250`, `"timeout_ms":-1`, 1), "timeout_ms"},
		{calls, strings.Replace(goodModel, `"input":{"q":[null,1.50]},`, ``, 1), "input"},
		{calls, strings.Replace(goodModel, `{`, `{"service":"ledger",`, 1), "service"},
		{calls, strings.Replace(goodService, `"ledger"`, `"x"`, 1), "service"},
		{calls, strings.Replace(goodService, `{`, `{"model":"m",`, 1), "model"},
		{calls, strings.Replace(goodService, `"operation":"read",`, ``, 1), "operation"},
	}
	for _, c := range cases {
		status, body, _ := f.send("POST", c.path, c.body)
		r := f.failure(body)
		if status != 400 || r.Error.Type != "invalid_request" || r.Error.Run != "not_run" {
			t.Errorf("%s got %d %s", c.body, status, body)
		}
		if c.field != "" && (len(r.Error.Fields) == 0 || r.Error.Fields[0].Path != c.field) {
			t.Errorf("%s names %v, want %s", c.body, r.Error.Fields, c.field)
		}
	}
}

// TestFailuresOfEveryType checks the status, body and counter of each type.
func TestFailuresOfEveryType(t *testing.T) {
	want := map[fault.Type]int{
		fault.InvalidRequest: 400, fault.UnknownProgram: 404, fault.UnknownCall: 404, fault.SeqConflict: 409,
		fault.BudgetExceeded: 402, fault.Overloaded: 429, fault.DeadlineUnmeetable: 429,
		fault.Poisoned: 422, fault.ProgramStopped: 409, fault.NoTarget: 503,
		fault.LogUnavailable: 503, fault.TargetFailed: 502, fault.OutcomeUnknown: 504,
		fault.Timeout: 504, fault.Conflict: 409, fault.InvalidConfig: 422,
		fault.NotReady: 503, fault.HistoryDiverged: 409, fault.Internal: 500,
	}
	f := start(t, nil)
	for _, typ := range fault.Types {
		f.programs.err = errors.Trace(fault.New(typ, fault.Ran, "m").WithRetryAfter(1200 * time.Millisecond))
		status, body, header := f.send("POST", "/v1/programs/k.1/calls", goodModel)
		f.Equal(status, want[typ])
		f.Equal(body, `{"error":{"type":"`+string(typ)+`","run":"ran","message":"m","request_id":"r1","retry_after_ms":1200}}`)
		f.Equal(header.Get("Retry-After"), "2")
		name := "http.refusals+type=" + string(typ)
		f.Equal(f.scope.Snapshot().Counters()[name].Value(), int64(1))
	}
	f.programs.err = errors.New("secret")
	status, body, _ := f.send("GET", "/v1/programs/k.1", "")
	f.Equal(status, 500)
	f.Equal(f.failure(body).Error.Run, "unknown")
	f.True(!strings.Contains(body, "secret"))
}

func TestReads(t *testing.T) {
	f := start(t, nil)
	cases := []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/v1/programs/k.1", 200, `{"program_id":"k.1","firm":"","agent":"","state":"open","next_seq":0,"spent_tokens":0,"reserved_tokens":0,"turn_digest":""}`},
		{"DELETE", "/v1/programs/k.1", 200, `{"program_id":"k.1","firm":"","agent":"","state":"ended","next_seq":0,"spent_tokens":0,"reserved_tokens":0,"turn_digest":""}`},
		{"GET", "/v1/programs/k.1/calls/9", 202, `{"program_id":"k.1","seq":9,"state":"running"}`},
		{"GET", "/v1/partitions", 200, `{"partitions":[{"partition":3,"stream":"","owner":"","epoch":0,"state":"","programs":0}]}`},
		{"GET", "/v1/targets", 200, `{"targets":[]}`},
		{"GET", "/healthz", 200, `{"state":"alive"}`},
		{"GET", "/readyz", 200, `{"state":"ready"}`},
	}
	for _, c := range cases {
		status, body, _ := f.send(c.method, c.path, "")
		f.Equal(status, c.status)
		f.Equal(body, c.body)
	}
	_, body, _ := f.send("GET", "/v1/programs/k.1/history", "")
	f.True(strings.Contains(body, `"input":{"a":1.50}`))
	status, _, _ := f.send("GET", "/v1/programs/k.1/calls/0", "")
	f.Equal(status, 400)
	status, body, _ = f.send("GET", "/v2", "")
	f.Equal(status, 404)
	f.Equal(f.failure(body).Error.Type, "invalid_request")
	status, _, _ = f.send("PATCH", "/v1/programs/k.1", "")
	f.Equal(status, 405)
}

func TestReadinessAndDrain(t *testing.T) {
	f := start(t, nil)
	f.operations.ready = fault.New(fault.NotReady, fault.NotRun, "host is leaving")
	status, body, _ := f.send("GET", "/readyz", "")
	f.Equal(status, 503)
	f.Equal(f.failure(body).Error.Type, "not_ready")
	status, _, _ = f.send("POST", "/v1/drain", "")
	f.Equal(status, 202)
	f.True(f.operations.drained)
}

func TestConfigurationCalls(t *testing.T) {
	f := start(t, nil)
	status, body, header := f.send("GET", "/v1/config", "")
	f.Equal(status, 200)
	f.Equal(body, `{"format":1}`)
	f.Equal(header.Get("ETag"), `"7"`)

	status, body, header = f.send("PUT", "/v1/config", `{}`, "If-Match", `"7"`)
	f.Equal(status, 200)
	f.Equal(body, `{"version":11}`)
	f.Equal(header.Get("ETag"), `"11"`)
	f.Equal(f.config.base, int64(7))

	status, _, _ = f.send("PUT", "/v1/config", `{}`)
	f.Equal(status, 400)

	f.config.err = fault.New(fault.Conflict, fault.NotRun, "version 9 is in force")
	status, _, _ = f.send("PUT", "/v1/config", `{}`, "If-Match", "7")
	f.Equal(status, 409)

	wrong := fault.New(fault.InvalidConfig, fault.NotRun, "wrong")
	wrong.Fields = []fault.Field{{Path: "targets[3].address", Message: "is missing"}}
	f.config.err = wrong
	status, body, _ = f.send("PUT", "/v1/config", `{}`, "If-Match", "7")
	f.Equal(status, 422)
	f.Equal(f.failure(body).Error.Fields, wrong.Fields)

	f.config.version = 0
	status, _, _ = f.send("GET", "/v1/config", "")
	f.Equal(status, 503)
}

// events reads the events of a stream until it ends.
func (f *fixture) events(body string) (*http.Response, []string) {
	f.Helper()
	reply, err := http.Post(f.url+"/v1/programs/k.1/calls", "application/json", strings.NewReader(body))
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	var events []string
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		if line := lines.Text(); line != "" && line != ":" {
			events = append(events, line)
		}
	}
	return reply, events
}

var streamed = strings.Replace(goodModel, `{`, `{"stream":true,`, 1)

func TestStreamedCall(t *testing.T) {
	f := start(t, nil)
	read := make(chan struct{})
	f.programs.call = func(_ context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
		defer close(read)
		f.NoErr(sink(port.Delta{Text: "a\n<"}))
		return answerTo(c), nil
	}
	reply, events := f.events(streamed)
	<-read
	f.Equal(reply.StatusCode, 200)
	f.Equal(reply.Header.Get("Content-Type"), "text/event-stream")
	f.Equal(events, []string{
		"event: delta", `data: {"offset":0,"text":"a\n<"}`,
		"event: done", `data: {"program_id":"k.1","seq":1,"request_id":"r1","output":"<b>","usage":{"prompt_tokens":0,"cached_tokens":0,"output_tokens":0},"target":"t","turn_digest":""}`,
	})
}

func TestStreamedFailure(t *testing.T) {
	f := start(t, nil)
	f.programs.err = fault.New(fault.Overloaded, fault.NotRun, "full").WithRetryAfter(time.Second)
	_, events := f.events(streamed)
	f.Equal(events, []string{
		"event: error", `data: {"error":{"type":"overloaded","run":"not_run","message":"full","request_id":"r1","retry_after_ms":1000}}`,
	})
	f.programs.call = func(context.Context, port.Call, port.Sink) (port.Answer, error) { panic("fault in the code") }
	_, events = f.events(streamed)
	f.Equal(events[0], "event: error")
	f.True(strings.Contains(events[1], `"type":"internal"`))
}

func TestCallerThatHangsUpCancelsTheCall(t *testing.T) {
	for name, body := range map[string]string{"whole": goodModel, "streamed": streamed} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			started, ended := make(chan struct{}), make(chan struct{})
			f.programs.call = func(ctx context.Context, _ port.Call, _ port.Sink) (port.Answer, error) {
				close(started)
				<-ctx.Done()
				close(ended)
				return port.Answer{}, ctx.Err()
			}
			ctx, cancel := context.WithCancel(context.Background())
			q, err := http.NewRequestWithContext(ctx, "POST", f.url+"/v1/programs/k.1/calls", strings.NewReader(body))
			f.NoErr(err)
			go func() {
				<-started
				cancel()
			}()
			if reply, err := http.DefaultClient.Do(q); err == nil {
				_, err = io.ReadAll(reply.Body)
				f.True(err != nil)
				_ = reply.Body.Close()
			}
			<-ended
		})
	}
}

func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Limits.WriteTimeout = 50 * time.Millisecond })
	ended := make(chan error, 1)
	f.programs.call = func(ctx context.Context, _ port.Call, sink port.Sink) (port.Answer, error) {
		var offset int64
		text := strings.Repeat("x", 64<<10)
		for ctx.Err() == nil {
			if err := sink(port.Delta{Offset: offset, Text: text}); err == nil {
				offset += int64(len(text))
			}
			time.Sleep(time.Millisecond)
		}
		ended <- ctx.Err()
		return port.Answer{}, ctx.Err()
	}
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	f.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/programs/k.1/calls HTTP/1.1\r\nHost: h\r\nContent-Length: "+
		itoa(len(streamed))+"\r\n\r\n"+streamed)
	f.NoErr(err)
	f.True(<-ended != nil)
}

func TestSlowBodyIsCutOff(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Limits.BodyTimeout = 50 * time.Millisecond })
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	f.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /v1/programs HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	f.NoErr(err)
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	f.Equal(reply.StatusCode, 400)
}

// TestLongCallOutlivesTheWriteTimeout: the deadline of an earlier answer on
// the same connection must not cut a later one.
func TestLongCallOutlivesTheWriteTimeout(t *testing.T) {
	f := start(t, func(p *httpapi.Params) {
		p.Limits.WriteTimeout = 30 * time.Millisecond
		p.Limits.BodyTimeout = 30 * time.Millisecond
		p.Limits.Heartbeat = 10 * time.Millisecond
	})
	f.programs.call = func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		time.Sleep(100 * time.Millisecond)
		return answerTo(c), nil
	}
	for range 2 {
		status, _, _ := f.send("POST", "/v1/programs/k.1/calls", goodModel)
		f.Equal(status, 200)
		_, events := f.events(streamed)
		f.Equal(events[0], "event: done")
	}
}

func TestRequestsAboveTheBoundAreRefused(t *testing.T) {
	for name, bound := range map[string]func(*httpapi.Limits){
		"requests": func(l *httpapi.Limits) { l.MaxRequests = 1 },
		"bytes":    func(l *httpapi.Limits) { l.MaxTotalBodyBytes = int64(len(goodModel)) },
	} {
		t.Run(name, func(t *testing.T) { refusesSecond(t, bound) })
	}
}

func refusesSecond(t *testing.T, bound func(*httpapi.Limits)) {
	f := start(t, func(p *httpapi.Params) { bound(&p.Limits) })
	started, release := make(chan struct{}), make(chan struct{})
	f.programs.call = func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		close(started)
		<-release
		return answerTo(c), nil
	}
	done := make(chan int, 1)
	go func() {
		reply, err := http.Post(f.url+"/v1/programs/k.1/calls", "application/json", strings.NewReader(goodModel))
		if err != nil {
			done <- 0
			return
		}
		_ = reply.Body.Close()
		done <- reply.StatusCode
	}()
	<-started
	status, body, _ := f.send("POST", "/v1/programs", goodOpen)
	f.Equal(status, 429)
	r := f.failure(body)
	f.Equal(r.Error.Type, "overloaded")
	f.Equal(r.Error.Run, "not_run")
	f.True(r.Error.RetryAfterMS > 0)
	close(release)
	f.Equal(<-done, 200)
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	f := start(t, func(p *httpapi.Params) { p.Snapshots = &config.Holder{} })
	status, body, _ := f.send("POST", "/v1/programs", goodOpen)
	f.Equal(status, 503)
	f.Equal(f.failure(body).Error.Run, "not_run")
}

func itoa(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}
