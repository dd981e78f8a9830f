package port

import (
	"context"
	"encoding/json"
	"time"
)

// Target is one server of models or services.
type Target struct {
	Name string
	// Address is the base URL of the target.
	Address    string
	DataCentre string
	// ChecksFencing is true if the target refuses orders with an outdated
	// fencing number.
	ChecksFencing bool
}

// Segment is one part of a prompt. The segments of a program's earlier turns
// come first and are byte for byte identical on every call, so that engines
// find the prefix in their cache.
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
	// Priority is the priority inside the engine; lower values run first.
	Priority int
	// ResumeFrom is the byte offset from which the engine returns the output of
	// a request that is already running or finished, without a second prefill.
	ResumeFrom int64
}

// ModelResult is the content of the final event of an engine's stream.
type ModelResult struct {
	RequestID string
	ProgramID string
	Output    string
	Usage     Usage
}

// EngineStatus is an engine's own report, which may be out of date.
type EngineStatus struct {
	Model string
	// Adapter, Version and Role are those of the last orders to the engine.
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
	// LastEvent is the sequence number of the newest published cache event,
	// zero before the first. A reader that has this event is up to date.
	LastEvent uint64
	// ObservedAt is when the engine made the report.
	ObservedAt time.Time
}

// CacheEvent reports that an engine stored or evicted a program's prefix.
// Events may be delayed and may have gaps in Seq.
type CacheEvent struct {
	Seq       uint64
	ProgramID string
	Tokens    int64
	Evicted   bool
}

// OrderKind is the kind of an order.
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

// Order instructs a target to change what it serves.
type Order struct {
	Kind OrderKind
	// Value is the model, adapter, version or role, or the program whose KV
	// cache is exported or imported.
	Value string
	// Epoch is the fencing number. A target that checks it refuses orders with
	// an older one.
	Epoch int64
}

// Engine is a client of all model engines.
type Engine interface {
	// Generate runs a call and passes the output to sink as it arrives. It
	// returns a *TargetError, also for a result whose IDs differ from the call's
	// and for a stream without its final event.
	Generate(ctx context.Context, target Target, call ModelCall, sink Sink) (ModelResult, error)
	Cancel(ctx context.Context, target Target, requestID string) error
	// Evict drops the KV cache of a program.
	Evict(ctx context.Context, target Target, programID string) error
	Status(ctx context.Context, target Target) (EngineStatus, error)
	// Events returns the cache events after a sequence number.
	Events(ctx context.Context, target Target, after uint64) ([]CacheEvent, error)
	// ProgramUsage returns the tokens that a target has spent on a program, by
	// request ID, and the target's incarnation, since an engine loses the usage
	// of earlier incarnations when it restarts.
	ProgramUsage(ctx context.Context, target Target, programID string) (spent map[string]Usage, incarnation uint64, err error)
	Order(ctx context.Context, target Target, order Order) error
}

// ServiceCall is one call of a service.
type ServiceCall struct {
	ProgramID  string
	Seq        int64
	RequestID  string
	Service    string
	Operation  string
	Input      json.RawMessage
	Idempotent bool
	// SendDeadline is the last time, on the monotonic clock, at which the
	// request may be written; zero means none. After it, a client returns
	// FailureRefused without writing.
	SendDeadline time.Time
}

// ServiceResult is a service's complete answer.
type ServiceResult struct {
	RequestID string
	Output    json.RawMessage
}

// Service is a client of all services that are not model engines.
type Service interface {
	Invoke(ctx context.Context, target Target, call ServiceCall) (ServiceResult, error)
	// Outcome asks a service whether a request ran. known is false if the
	// service can't tell.
	Outcome(ctx context.Context, target Target, service, requestID string) (result ServiceResult, ran, known bool, err error)
}

// Failure classifies the failure of a call to a target.
type Failure string

// The failures of calls to targets.
const (
	// FailureRefused: the connection was refused or nothing was written; the
	// request was provably not sent.
	FailureRefused Failure = "refused"
	// FailureBusy: the target answered 429 or 503 and did not run the request.
	FailureBusy Failure = "busy"
	// FailureDraining: the target is leaving and did not run the request.
	FailureDraining Failure = "draining"
	// FailureBroken: the connection ended before the answer was complete, or the
	// answer was invalid.
	FailureBroken Failure = "broken"
	// FailureMismatch: the answer belongs to another request.
	FailureMismatch Failure = "mismatch"
	// FailureTimeout: no complete answer in time.
	FailureTimeout Failure = "timeout"
	// FailureRejected: the target answered that the request is invalid.
	FailureRejected Failure = "rejected"
	// FailureFenced: the target refused an outdated fencing number.
	FailureFenced Failure = "fenced"
)

// TargetError is a failed call to a target.
type TargetError struct {
	Target  string
	Failure Failure
	// OutputBytes is the number of bytes of output received before the failure.
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

// NotRun reports whether the target provably did not run the request.
func (e *TargetError) NotRun() bool {
	switch e.Failure {
	case FailureRefused, FailureBusy, FailureDraining:
		return true
	}
	return false
}
