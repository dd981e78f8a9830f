package engine

import "yuccausher/internal/port"

// The paths of an engine, below its address.
const (
	PathGenerate = "/generate"
	PathCancel   = "/cancel"
	PathEvict    = "/evict"
	PathStatus   = "/status"
	PathEvents   = "/events"
	PathUsage    = "/usage"
	PathOrder    = "/order"
)

// The parameters of an engine's queries.
const (
	ParamAfter   = "after"
	ParamProgram = "program_id"
)

// The names of the events of an engine's stream.
const (
	EventDelta = "delta"
	EventDone  = "done"
	EventError = "error"
)

// GenerateRequest asks for the output of a model.
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

// DeltaEvent is a piece of the output from a byte offset on.
type DeltaEvent struct {
	ProgramID string `json:"program_id"`
	RequestID string `json:"request_id"`
	Offset    int64  `json:"offset"`
	Text      string `json:"text"`
}

// DoneEvent is the typed end of a stream, with the whole output.
type DoneEvent struct {
	ProgramID string     `json:"program_id"`
	RequestID string     `json:"request_id"`
	Output    string     `json:"output"`
	Usage     port.Usage `json:"usage"`
}

// CancelRequest names the request to stop.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// EvictRequest names the program whose KV cache is dropped.
type EvictRequest struct {
	ProgramID string `json:"program_id"`
}

// UsageAnswer is what an engine has spent for a program, by request ID.
type UsageAnswer struct {
	Incarnation uint64                `json:"incarnation"`
	Spent       map[string]port.Usage `json:"spent"`
}
