package httpapi_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
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

// A caller can declare an idempotent operation non-idempotent, but not the
// reverse.
func TestCallerCannotDeclareAnOperationIdempotent(t *testing.T) {
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

func TestInvalidRequestsNameTheField(t *testing.T) {
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

// TestFailuresOfEveryType checks status, body and counter of each fault type.
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
