package engine

import "yuccausher/internal/port"

// Paths of the engine API, relative to the target's address.
const (
	PathGenerate = "/generate"
	PathCancel   = "/cancel"
	PathEvict    = "/evict"
	PathStatus   = "/status"
	PathEvents   = "/events"
	PathUsage    = "/usage"
	PathOrder    = "/order"
)

// Query parameters of the engine API.
const (
	ParamAfter   = "after"
	ParamProgram = "program_id"
)

// Event names in an engine's stream.
const (
	EventDelta = "delta"
	EventDone  = "done"
	EventError = "error"
)

// GenerateRequest is the body of a generate request.
type GenerateRequest struct {
	ProgramID  string         `json:"program_id"`
	Seq        int64          `json:"seq"`
	RequestID  string         `json:"request_id"`
	Model      string         `json:"model"`
	Prompt     []port.Segment `json:"prompt"`
	MaxTokens  int64          `json:"max_tokens"`
	Priority   int            `json:"priority"`
	ResumeFrom int64          `json:"resume_from"`
}

// DeltaEvent is a piece of the output that starts at a byte offset.
type DeltaEvent struct {
	ProgramID string `json:"program_id"`
	RequestID string `json:"request_id"`
	Offset    int64  `json:"offset"`
	Text      string `json:"text"`
}

// DoneEvent is the final event of a successful stream, with the complete output.
type DoneEvent struct {
	ProgramID string     `json:"program_id"`
	RequestID string     `json:"request_id"`
	Output    string     `json:"output"`
	Usage     port.Usage `json:"usage"`
}

// CancelRequest names the request to cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// EvictRequest names the program whose KV cache is evicted.
type EvictRequest struct {
	ProgramID string `json:"program_id"`
}

// UsageAnswer is the usage that an engine has recorded for a program, by request
// ID, since the start of its current incarnation.
type UsageAnswer struct {
	Incarnation uint64                `json:"incarnation"`
	Spent       map[string]port.Usage `json:"spent"`
}
