// Package gateway handles requests of callers. It matches each request to a route,
// reserves the tokens that a program's turn may spend, sends the request to a target
// and relays the answer as it arrives. Each request gets exactly one final answer.
package gateway

import (
	"net/http"
	"time"
)

// Call holds the attributes of a request that its header states.
type Call struct {
	RequestID string
	// TimeLeft is how long the caller will wait; zero if not stated.
	TimeLeft time.Duration
	Program  string
	// Session identifies a sequence of turns within a program.
	Session string
	// PreviousTurn is the request ID of the turn that this one continues; empty at the
	// start of a conversation.
	PreviousTurn string
	// FinishIn is the time left until the program as a whole is due; zero if it is
	// already late. HasFinish reports whether the request states it.
	FinishIn  time.Duration
	HasFinish bool
	// Budget is the number of tokens that all turns of the program together may
	// generate. HasBudget reports whether the request states it.
	Budget    int64
	HasBudget bool
	// PromptTokens and MaxOutput are the size of the prompt and the maximum size of
	// the answer, in tokens.
	PromptTokens int64
	MaxOutput    int64
	// PrivateTokens is the size of the part of the prompt that no other program shares,
	// in tokens.
	PrivateTokens int64
	// ResumeAfter is the ID of the last event that the caller has received; empty if
	// the request starts from the beginning.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream that
	// the caller takes up again; empty if not stated.
	Resumes string
}

// Dispatch holds what the host adds to a request for a target.
type Dispatch struct {
	// TargetID is the only target that may run the request.
	TargetID string
	TimeLeft time.Duration
	// Priority orders requests inside an engine, 0 first. HasPriority reports whether
	// it is set.
	Priority    int
	HasPriority bool
	// ResumeAfter is the ID of the last event that the caller has received from an
	// earlier run; empty for the first run.
	ResumeAfter string
	Identity
}

// Identity is what a host knows of the organisation that a request belongs to.
type Identity struct {
	// IsIdentified is set if the configuration has organisations, so that the host has checked
	// the key unless the route is public. The key and what the caller states as its
	// organisation are then not passed on.
	IsIdentified bool
	// Organisation is the name of the organisation; empty on public routes.
	Organisation string
}

// Answer holds what the header of a target's answer states.
type Answer struct {
	// RequestID identifies the answered request; empty if not stated.
	RequestID string
	// IsRefused is set if the target refused the request and will not run it.
	IsRefused bool
	// IsWrongTarget is set if the address belongs to another target.
	IsWrongTarget bool
	// IsLeaving is set if the target accepts no new requests.
	IsLeaving bool
	// IsSigned is set if the answer carries the target's signature.
	IsSigned bool
	// Rate is the number of requests per second that the target accepts from all hosts
	// together; negative if the answer names a rate that is not a number. HasRate reports
	// whether the answer names one.
	Rate    float64
	HasRate bool
	// IsEncoded is set if the body has a content encoding. Targets use none, so the
	// body is not as the target sent it.
	IsEncoded bool
}

// Protocol translates between the headers of callers and those of targets.
type Protocol interface {
	// ParseCall parses the header of a caller's request.
	ParseCall(http.Header) Call
	// ParseKeys returns the keys in the header of a caller's request, in order.
	ParseKeys(http.Header) []string
	// DispatchHeader returns the header to send to a target for the header of a
	// caller's request.
	DispatchHeader(http.Header, Dispatch) http.Header
	// HandoverHeader returns the header of a caller's request as it is handed over to another
	// host.
	HandoverHeader(http.Header, Progress) http.Header
	// ParseAnswer parses the header of a target's answer.
	ParseAnswer(status int, h http.Header) Answer
	// AnswerHeader returns the header to send to the caller for the header of a
	// target's answer.
	AnswerHeader(http.Header) http.Header
	// RefusalHeader returns the header of a refusal, with the ID of the request and,
	// unless retryAfter is negative, the time after which the caller may retry.
	RefusalHeader(requestID string, retryAfter time.Duration) http.Header
}
