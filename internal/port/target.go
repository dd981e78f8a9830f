package port

import (
	"context"
	"encoding/json"
	"time"
)

// Target is one back end that serves models or services.
type Target struct {
	Name string
	// Address is the base URL of the target.
	Address    string
	DataCentre string
	// ChecksFencing says that the target refuses an order with an old
	// fencing number.
	ChecksFencing bool
}

// Segment is one part of a prompt. The segments of a program's earlier turns
// come first and are byte for byte the same on every call, so that engines
// find their prefix in the cache.
type Segment struct {
	// Role is "user" for inputs and "assistant" for outputs.
	Role string `json:"role"`
	Text string `json:"text"`
}

// ModelCall is one call of a model engine.
type ModelCall struct {
	ProgramID string
	Seq       int64
	RequestID string
	Model     string
	Prompt    []Segment
	MaxTokens int64
	// Priority orders work inside the engine; a lower value goes first.
	Priority int
	// ResumeFrom asks the engine for the output of a request that it already
	// runs or has run, from this byte offset on, without a second prefill.
	ResumeFrom int64
}

// ModelResult is the typed end of an engine's stream.
type ModelResult struct {
	RequestID string
	ProgramID string
	Output    string
	Usage     Usage
}

// EngineStatus is an engine's own report, which lags.
type EngineStatus struct {
	Model string
	// Adapter, Version and Role are what the engine was last ordered to be.
	Adapter     string
	Version     string
	Role        string
	Running     int
	Queued      int
	KVTokens    int64
	KVCapacity  int64
	KVPrograms  []string
	Leaving     bool
	Incarnation uint64
	// LastEvent is the sequence number of the newest cache event that came
	// out, zero before the first. A reader that has it need not ask for more.
	LastEvent uint64
	// ObservedAt is when the engine made the report.
	ObservedAt time.Time
}

// CacheEvent says that an engine stored or evicted a program's prefix.
// Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq       uint64
	ProgramID string
	Tokens    int64
	Evicted   bool
}

// OrderKind names an order to a target.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
	OrderExport  OrderKind = "export"
	OrderImport  OrderKind = "import"
)

// Order asks a target to change what it serves.
type Order struct {
	Kind OrderKind
	// Value is the model, adapter, version or role, or the program whose KV
	// cache is exported or imported.
	Value string
	// Epoch is the fencing number.
	Epoch int64
}

// Engine is a client of all model engines.
type Engine interface {
	// Generate runs a call and hands the output to sink as it comes. A
	// result whose IDs differ from the call's, and a stream without its
	// typed end, are a *TargetError.
	Generate(ctx context.Context, target Target, call ModelCall, sink Sink) (ModelResult, error)
	Cancel(ctx context.Context, target Target, requestID string) error
	// Evict drops the KV cache that is held for a program.
	Evict(ctx context.Context, target Target, programID string) error
	Status(ctx context.Context, target Target) (EngineStatus, error)
	// Events returns cache events after a sequence number.
	Events(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
	// ProgramUsage returns the tokens that a target has spent for a program,
	// by request ID, and the target's incarnation: an engine that restarted
	// has forgotten earlier spending.
	ProgramUsage(ctx context.Context, target Target, programID string) (spent map[string]Usage, incarnation uint64, err error)
	Order(ctx context.Context, target Target, order Order) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	ProgramID  string
	Seq        int64
	RequestID  string
	Service    string
	Operation  string
	Input      json.RawMessage
	Idempotent bool
	// LeaveBy is the last moment, on the monotonic clock, at which the
	// request may be written; zero means none. A client that is later
	// answers FailureRefused without writing.
	SendDeadline time.Time
}

// ServiceResult is a service's whole answer.
type ServiceResult struct {
	RequestID string
	Output    json.RawMessage
}

// Service is a client of all plain services.
type Service interface {
	Invoke(ctx context.Context, target Target, call ServiceCall) (ServiceResult, error)
	// Outcome asks whether a request ran. known is false where the service
	// can't say.
	Outcome(ctx context.Context, target Target, service, requestID string) (result ServiceResult, ran, known bool, err error)
}

// Failure says in which way a target failed.
type Failure string

// The ways in which a target fails.
const (
	// FailureRefused: the dial was refused or nothing was written; the
	// request provably did not leave.
	FailureRefused Failure = "refused"
	// FailureBusy: the target answered 429 or 503 and did not run it.
	FailureBusy Failure = "busy"
	// FailureDraining: the target is leaving and did not run it.
	FailureDraining Failure = "draining"
	// FailureBroken: the connection ended before the whole answer.
	FailureBroken Failure = "broken"
	// FailureMismatch: the answer belongs to another request.
	FailureMismatch Failure = "mismatch"
	// FailureTimeout: no whole answer in time.
	FailureTimeout Failure = "timeout"
	// FailureRejected: the target answered that the request is wrong.
	FailureRejected Failure = "rejected"
	// FailureFenced: the target refused an old fencing number.
	FailureFenced Failure = "fenced"
)

// TargetError is a failed call of a target.
type TargetError struct {
	Target  string
	Failure Failure
	// Output is how many bytes of the answer had come.
	OutputBytes int64
	Cause       error
}

// Error implements error.
func (e *TargetError) Error() string {
	s := "target " + e.Target + " failed: " + string(e.Failure)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *TargetError) Unwrap() error { return e.Cause }

// NotRun says whether the target provably did not run the request.
func (e *TargetError) NotRun() bool {
	switch e.Failure {
	case FailureRefused, FailureBusy, FailureDraining:
		return true
	}
	return false
}
