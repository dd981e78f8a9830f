package httpapi

import (
	"encoding/json"
	"strconv"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// The bounds of request fields.
const (
	maxIDBytes = 256
	maxTimeout = time.Hour
	// maxLifetime bounds the deadline of a program.
	maxLifetime = 30 * 24 * time.Hour
)

type openRequest struct {
	Organisation string         `json:"firm"`
	Agent        string         `json:"agent"`
	Class        string         `json:"class"`
	Budget       *budgetRequest `json:"budget"`
	DeadlineMS   *int64         `json:"deadline_ms"`
	Parent       string         `json:"parent"`
	RequestID    string         `json:"request_id"`
}

type budgetRequest struct {
	Tokens int64 `json:"tokens"`
}

type callRequest struct {
	Seq        *int64          `json:"seq"`
	RequestID  string          `json:"request_id"`
	Kind       port.Kind       `json:"kind"`
	Model      *string         `json:"model"`
	MaxTokens  *int64          `json:"max_tokens"`
	Stream     *bool           `json:"stream"`
	Service    *string         `json:"service"`
	Operation  *string         `json:"operation"`
	Idempotent *bool           `json:"idempotent"`
	Input      json.RawMessage `json:"input"`
	TimeoutMS  *int64          `json:"timeout_ms"`
}

// validation collects the invalid fields of one request.
type validation struct {
	fields []fault.Field
}

func (k *validation) wrong(path, message string) {
	k.fields = append(k.fields, fault.Field{Path: path, Message: message})
}

func (k *validation) id(path, value string) {
	switch {
	case value == "":
		k.wrong(path, "is missing")
	case len(value) > maxIDBytes:
		k.wrong(path, "must have at most "+strconv.Itoa(maxIDBytes)+" bytes")
	}
}

// milliseconds returns value as a duration from 1 ms to limit, or zero if it is
// absent or invalid.
func (k *validation) milliseconds(path string, value *int64, limit time.Duration) time.Duration {
	if value == nil {
		return 0
	}
	if *value < 1 || *value > limit.Milliseconds() {
		k.wrong(path, "must be from 1 to "+strconv.FormatInt(limit.Milliseconds(), 10))
		return 0
	}
	return time.Duration(*value) * time.Millisecond
}

// absent reports a field that belongs to the other kind of call.
func (k *validation) absent(path string, isPresent bool, kind port.Kind) {
	if isPresent {
		k.wrong(path, "does not belong to a "+string(kind)+" call")
	}
}

func (k *validation) result(requestID string) error {
	if len(k.fields) == 0 {
		return nil
	}
	return invalidFields(k.fields...).WithRequest(requestID)
}

// spec validates a request against the configuration and returns the program
// to open.
func (q *openRequest) spec(s *config.Snapshot) (port.ProgramSpec, error) {
	var k validation
	k.id("request_id", q.RequestID)
	if len(q.Parent) > maxIDBytes {
		k.id("parent", q.Parent)
	}
	spec := port.ProgramSpec{
		Organisation: q.Organisation,
		Agent:        q.Agent,
		Class:        q.Class,
		Deadline:     k.milliseconds("deadline_ms", q.DeadlineMS, maxLifetime),
		Parent:       q.Parent,
		RequestID:    q.RequestID,
	}
	if q.Budget == nil || q.Budget.Tokens < 1 {
		k.wrong("budget.tokens", "must be at least 1")
	} else {
		spec.BudgetTokens = q.Budget.Tokens
	}
	spec.Class = k.agent(s, q)
	return spec, k.result(q.RequestID)
}

// agent validates organisation, agent and class, and returns the class. The
// agent's class is the default.
func (k *validation) agent(s *config.Snapshot, q *openRequest) string {
	if s.Organisation(q.Organisation) == nil {
		k.wrong("firm", "is not in the configuration")
	}
	agent := s.Agent(q.Agent)
	if agent == nil {
		k.wrong("agent", "is not in the configuration")
		return ""
	}
	if agent.Organisation != q.Organisation {
		k.wrong("agent", "does not belong to the firm")
	}
	class := q.Class
	if class == "" {
		class = agent.Class
	}
	if s.Class(class) == nil {
		k.wrong("class", "is not in the configuration")
	}
	return class
}

// call validates a request against the configuration and returns the call.
func (q *callRequest) call(s *config.Snapshot, programID string) (port.Call, error) {
	var k validation
	k.id("request_id", q.RequestID)
	call := port.Call{
		ProgramID: programID,
		RequestID: q.RequestID,
		Kind:      q.Kind,
		Input:     q.Input,
		Timeout:   k.milliseconds("timeout_ms", q.TimeoutMS, maxTimeout),
	}
	if q.Seq == nil || *q.Seq < 1 {
		k.wrong("seq", "must be at least 1")
	} else {
		call.Seq = *q.Seq
	}
	if len(q.Input) == 0 {
		k.wrong("input", "is missing")
	}
	switch q.Kind {
	case port.KindModel:
		q.model(&k, s, &call)
	case port.KindService:
		q.service(&k, s, &call)
	default:
		k.wrong("kind", `must be "model" or "service"`)
	}
	return call, k.result(q.RequestID)
}

func (q *callRequest) model(k *validation, s *config.Snapshot, call *port.Call) {
	k.absent("service", q.Service != nil, q.Kind)
	k.absent("operation", q.Operation != nil, q.Kind)
	k.absent("idempotent", q.Idempotent != nil, q.Kind)
	call.Model = value(q.Model)
	call.Stream = value(q.Stream)
	model := s.Model(call.Model)
	if model == nil {
		k.wrong("model", "is not in the configuration")
		return
	}
	call.MaxTokens = model.MaxOutputTokens
	if q.MaxTokens == nil {
		return
	}
	if *q.MaxTokens < 1 || *q.MaxTokens > model.MaxOutputTokens {
		k.wrong("max_tokens", "must be from 1 to "+strconv.FormatInt(model.MaxOutputTokens, 10))
		return
	}
	call.MaxTokens = *q.MaxTokens
}

// service validates a service call. A call is idempotent only if the
// configuration declares it so and the caller does not deny it.
func (q *callRequest) service(k *validation, s *config.Snapshot, call *port.Call) {
	k.absent("model", q.Model != nil, q.Kind)
	k.absent("max_tokens", q.MaxTokens != nil, q.Kind)
	call.Service = value(q.Service)
	call.Operation = value(q.Operation)
	call.Stream = value(q.Stream)
	k.id("operation", call.Operation)
	if s.Service(call.Service) == nil {
		k.wrong("service", "is not in the configuration")
		return
	}
	isDenied := q.Idempotent != nil && !*q.Idempotent
	call.Idempotent = !isDenied && s.IsIdempotent(call.Service, call.Operation)
}

// value returns *p, or the zero value if p is nil.
func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
