package service

import "encoding/json"

// The paths of a service target, below its address.
const (
	PathInvoke  = "/invoke"
	PathOutcome = "/outcome"
)

// The parameters of the outcome query.
const (
	ParamService = "service"
	ParamRequest = "request_id"
)

// InvokeRequest asks a service to run an operation.
type InvokeRequest struct {
	ProgramID string          `json:"program_id"`
	Seq       int64           `json:"seq"`
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Input     json.RawMessage `json:"input,omitempty"`
}

// InvokeAnswer is a service's whole answer.
type InvokeAnswer struct {
	RequestID string          `json:"request_id"`
	Output    json.RawMessage `json:"output"`
}

// OutcomeAnswer tells whether a request ran. Known is false where the service
// can't say.
type OutcomeAnswer struct {
	Known     bool            `json:"known"`
	Ran       bool            `json:"ran"`
	RequestID string          `json:"request_id,omitempty"`
	Output    json.RawMessage `json:"output,omitempty"`
}
