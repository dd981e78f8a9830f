package httpapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
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

// configuration is a fake of the configuration in effect.
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
