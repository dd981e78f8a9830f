package port

import (
	"context"
	"encoding/json"
	"time"
)

// Kind is the kind of target that serves a call.
type Kind string

// The kinds of calls.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// ProgramState is the state of a program.
type ProgramState string

// The states of a program.
const (
	ProgramOpen    ProgramState = "open"
	ProgramEnded   ProgramState = "ended"
	ProgramStopped ProgramState = "stopped"
)

// ProgramSpec is a request for a new program. RequestID makes it idempotent.
type ProgramSpec struct {
	Organisation string
	Agent        string
	Class        string
	BudgetTokens int64
	// Deadline limits the duration of the whole program; zero means no limit.
	Deadline  time.Duration
	Parent    string
	RequestID string
}

// ProgramView is a program as callers see it.
type ProgramView struct {
	ProgramID      string       `json:"program_id"`
	Organisation   string       `json:"firm"`
	Agent          string       `json:"agent"`
	State          ProgramState `json:"state"`
	NextSeq        int64        `json:"next_seq"`
	SpentTokens    int64        `json:"spent_tokens"`
	ReservedTokens int64        `json:"reserved_tokens"`
	TurnDigest     string       `json:"turn_digest"`
}

// Call is one call of a program.
type Call struct {
	ProgramID string
	Seq       int64
	RequestID string
	Kind      Kind
	// Model, MaxTokens and Stream apply to model calls.
	Model     string
	MaxTokens int64
	Stream    bool
	// Service, Operation and Idempotent apply to service calls. Idempotent can
	// only restrict the setting in the configuration: a call is idempotent if
	// both say so.
	Service    string
	Operation  string
	Idempotent bool
	// Input is the new part of this turn, as the caller's JSON.
	Input json.RawMessage
	// Timeout limits the call, starting at its arrival; zero means the default.
	Timeout time.Duration
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}

// Answer is the complete answer to one call.
type Answer struct {
	ProgramID  string          `json:"program_id"`
	Seq        int64           `json:"seq"`
	RequestID  string          `json:"request_id"`
	Output     json.RawMessage `json:"output"`
	Usage      Usage           `json:"usage"`
	Target     string          `json:"target"`
	TurnDigest string          `json:"turn_digest"`
}

// Turn is one finished call in a program's history.
type Turn struct {
	Seq        int64           `json:"seq"`
	RequestID  string          `json:"request_id"`
	Kind       Kind            `json:"kind"`
	Model      string          `json:"model,omitempty"`
	Service    string          `json:"service,omitempty"`
	Operation  string          `json:"operation,omitempty"`
	Input      json.RawMessage `json:"input"`
	Output     json.RawMessage `json:"output"`
	Usage      Usage           `json:"usage"`
	Target     string          `json:"target"`
	TurnDigest string          `json:"turn_digest"`
	// Failure is the failure type, such as outcome_unknown, of a call whose
	// outcome is final but that has no answer.
	Failure string `json:"failure,omitempty"`
}

// Delta is a fragment of a streamed answer. Offset is the position of Text in
// the complete output, in bytes, so that a resumed stream repeats nothing.
type Delta struct {
	Offset int64
	Text   string
}

// Sink receives the fragments of a streamed answer. It may be nil. An error from
// it means that the caller has disconnected.
type Sink func(Delta) error

// Programs serves programs. The owner of a partition implements it for its own
// programs, a peer client for those of another host, and the entry router for
// all. Failures that a caller may see are *fault.Fault; a host that does not own
// the program returns *NotOwnerError.
type Programs interface {
	Open(ctx context.Context, spec ProgramSpec) (ProgramView, error)
	Call(ctx context.Context, call Call, sink Sink) (Answer, error)
	Program(ctx context.Context, id string) (ProgramView, error)
	History(ctx context.Context, id string) ([]Turn, error)
	// Answer returns the recorded answer of a call; running is true while the
	// call has no outcome.
	Answer(ctx context.Context, id string, seq int64) (answer Answer, running bool, err error)
	End(ctx context.Context, id string) (ProgramView, error)
}

// NotOwnerError reports that a host does not own a partition. The call did not
// run unless MayHaveRun is set.
type NotOwnerError struct {
	Partition uint32
	// Owner is the owner according to the answering host; empty if unknown.
	Owner string
	// MayHaveRun is true if the call was sent to a target before the host lost
	// the partition. It is still safe to send the same request to the next
	// owner, but a refusal of it must not say not_run.
	MayHaveRun bool
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return "host does not own the partition, owner is " + e.Owner
}
