// Package fault defines the failures that are returned to callers and operators.
// Each has a type from a closed set and states whether the request ran.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Type is the type of a failure on the external interface.
type Type string

// The failure types of the external interface.
const (
	InvalidRequest     Type = "invalid_request"
	UnknownProgram     Type = "unknown_program"
	UnknownCall        Type = "unknown_call"
	SeqConflict        Type = "seq_conflict"
	BudgetExceeded     Type = "budget_exceeded"
	Overloaded         Type = "overloaded"
	DeadlineUnmeetable Type = "deadline_unmeetable"
	Poisoned           Type = "poisoned"
	ProgramStopped     Type = "program_stopped"
	NoTarget           Type = "no_target"
	LogUnavailable     Type = "log_unavailable"
	TargetFailed       Type = "target_failed"
	OutcomeUnknown     Type = "outcome_unknown"
	Timeout            Type = "timeout"
	Conflict           Type = "conflict"
	InvalidConfig      Type = "invalid_config"
	NotReady           Type = "not_ready"
	HistoryDiverged    Type = "history_diverged"
	Internal           Type = "internal"
)

// Types lists every failure type, for metrics and documentation.
var Types = []Type{
	InvalidRequest, UnknownProgram, UnknownCall, SeqConflict, BudgetExceeded, Overloaded,
	DeadlineUnmeetable, Poisoned, ProgramStopped, NoTarget, LogUnavailable,
	TargetFailed, OutcomeUnknown, Timeout, Conflict, InvalidConfig, NotReady,
	HistoryDiverged, Internal,
}

// Run states whether a target executed the failed request.
type Run string

// The values of Run. NotRun is a guarantee: no byte of the request was sent to any
// target, and no intent without an outcome is recorded.
const (
	NotRun  Run = "not_run"
	Unknown Run = "unknown"
	Ran     Run = "ran"
)

// Field is one invalid field of a request or document.
type Field struct {
	// Path locates the field, for example "targets[3].address".
	Path string `json:"path"`
	// Message describes the error and the allowed values.
	Message string `json:"message"`
}

// Fault is a failure that may be returned to a caller. It implements error.
type Fault struct {
	Type      Type
	Run       Run
	Message   string
	RequestID string
	// RetryAfter is how long the caller should wait before a retry; zero means
	// no advice.
	RetryAfter time.Duration
	// Fields lists the invalid fields of a request or document.
	Fields []Field
	cause  error
}

// New returns a fault of type t with a formatted message.
func New(t Type, run Run, format string, args ...any) *Fault {
	return &Fault{Type: t, Run: run, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (f *Fault) Error() string {
	s := string(f.Type) + " (" + string(f.Run) + "): " + f.Message
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the cause, which is never sent to callers.
func (f *Fault) Unwrap() error { return f.cause }

// WithCause returns a copy of f with a cause, which is only logged.
func (f *Fault) WithCause(cause error) *Fault {
	c := *f
	c.cause = cause
	return &c
}

// WithRequest returns a copy of f with the request's ID.
func (f *Fault) WithRequest(id string) *Fault {
	c := *f
	c.RequestID = id
	return &c
}

// WithRetryAfter returns a copy of f with a time to wait before a retry.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfter = d
	return &c
}

// As returns the first fault in err's chain, if there is one.
func As(err error) (*Fault, bool) {
	var f *Fault
	if errors.As(err, &f) {
		return f, true
	}
	return nil, false
}

// Of returns the first fault in err's chain. Any other error becomes an internal
// fault with run unknown, since it proves nothing about the request.
func Of(err error) *Fault {
	if f, ok := As(err); ok {
		return f
	}
	return New(Internal, Unknown, "internal failure").WithCause(err)
}

var statuses = map[Type]int{
	InvalidRequest:     http.StatusBadRequest,
	UnknownProgram:     http.StatusNotFound,
	UnknownCall:        http.StatusNotFound,
	SeqConflict:        http.StatusConflict,
	BudgetExceeded:     http.StatusPaymentRequired,
	Overloaded:         http.StatusTooManyRequests,
	DeadlineUnmeetable: http.StatusTooManyRequests,
	Poisoned:           http.StatusUnprocessableEntity,
	ProgramStopped:     http.StatusConflict,
	NoTarget:           http.StatusServiceUnavailable,
	LogUnavailable:     http.StatusServiceUnavailable,
	TargetFailed:       http.StatusBadGateway,
	OutcomeUnknown:     http.StatusGatewayTimeout,
	Timeout:            http.StatusGatewayTimeout,
	Conflict:           http.StatusConflict,
	InvalidConfig:      http.StatusUnprocessableEntity,
	NotReady:           http.StatusServiceUnavailable,
	HistoryDiverged:    http.StatusConflict,
}

// Status returns the HTTP status of a failure type.
func Status(t Type) int {
	if s, ok := statuses[t]; ok {
		return s
	}
	return http.StatusInternalServerError
}
