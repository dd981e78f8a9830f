package service

import "encoding/json"

// Paths of the service API, relative to the target's address.
const (
	PathInvoke  = "/invoke"
	PathOutcome = "/outcome"
)

// Query parameters of an outcome request.
const (
	ParamService = "service"
	ParamRequest = "request_id"
)

// InvokeRequest is the body of a request to run an operation.
type InvokeRequest struct {
	ProgramID string          `json:"program_id"`
	Seq       int64           `json:"seq"`
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Input     json.RawMessage `json:"input,omitempty"`
}

// InvokeAnswer is a service's complete answer to an InvokeRequest.
type InvokeAnswer struct {
	RequestID string          `json:"request_id"`
	Output    json.RawMessage `json:"output"`
}

// OutcomeAnswer reports whether a request ran. Known is false if the service
// can't tell.
type OutcomeAnswer struct {
	Known     bool            `json:"known"`
	Ran       bool            `json:"ran"`
	RequestID string          `json:"request_id,omitempty"`
	Output    json.RawMessage `json:"output,omitempty"`
}
