package port

import (
	"context"
	"encoding/json"
	"time"
)

// Kind says what serves a call.
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

// ProgramSpec asks for a new program. RequestID makes the request idempotent.
type ProgramSpec struct {
	Organisation string
	Agent        string
	Class        string
	BudgetTokens int64
	// Deadline is the time allowed for the whole program; zero means none.
	Deadline  time.Duration
	Parent    string
	RequestID string
}

// ProgramView is what callers may see of a program.
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
	// Model, MaxTokens and Stream belong to model calls.
	Model     string
	MaxTokens int64
	Stream    bool
	// Service, Operation and Idempotent belong to service calls. Idempotent
	// can only narrow what the configuration says.
	Service    string
	Operation  string
	Idempotent bool
	// Input is what is new in this turn, as the caller's JSON.
	Input json.RawMessage
	// Timeout bounds the call from its arrival; zero means the default.
	Timeout time.Duration
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}

// Answer is the whole answer to one call.
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
	// Failure is the failure type of a call that has no answer but whose
	// outcome is settled, such as outcome_unknown.
	Failure string `json:"failure,omitempty"`
}

// Delta is a piece of a streamed answer. Offset is the position of Text in
// the whole output, in bytes, so that a resumed stream repeats nothing.
type Delta struct {
	Offset int64
	Text   string
}

// Sink takes pieces of a streamed answer. It may be nil. An error from it
// means that the caller has gone.
type Sink func(Delta) error

// Programs serves programs. The owner of a partition implements it for its
// own programs, a peer client for those of another host, and the entry
// router for all. Failures that a caller may see are *fault.Fault; a host
// that does not own the program answers *NotOwnerError.
type Programs interface {
	Open(ctx context.Context, spec ProgramSpec) (ProgramView, error)
	Call(ctx context.Context, call Call, sink Sink) (Answer, error)
	Program(ctx context.Context, id string) (ProgramView, error)
	History(ctx context.Context, id string) ([]Turn, error)
	// Answer returns the recorded answer of a call; running is true while
	// the call has no outcome yet.
	Answer(ctx context.Context, id string, seq int64) (answer Answer, running bool, err error)
	End(ctx context.Context, id string) (ProgramView, error)
}

// NotOwnerError says that a host does not own a partition. Nothing was run,
// unless MayHaveRun is set.
type NotOwnerError struct {
	Partition uint32
	// Owner is the host that the answering host takes for the owner; empty
	// if it knows none.
	Owner string
	// MayHaveRun says that the call had left for a target before the
	// partition was lost. The same request is then still safe to send to the
	// next owner, but a refusal of it must not say not_run.
	MayHaveRun bool
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return "host does not own the partition, owner is " + e.Owner
}
