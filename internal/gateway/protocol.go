// Package gateway takes callers' requests and sees each to its one answer: it
// finds the route, reserves the tokens that a program's turn may spend, sends
// the request to a target and passes the answer on as it comes.
package gateway

import (
	"net/http"
	"time"
)

// Call is what a request says of itself.
type Call struct {
	RequestID string
	// TimeLeft is how long the caller will wait; zero if it does not say.
	TimeLeft time.Duration
	Program  string
	// Session names one line of turns of a program.
	Session string
	// PreviousTurn is the request of the turn that this one continues; empty at the
	// beginning of a conversation.
	PreviousTurn string
	// FinishIn is how long the whole program may still take to be on time; zero
	// if it is late already. HasFinish says that the request names it.
	FinishIn  time.Duration
	HasFinish bool
	// Budget is how many tokens all turns of the program may generate.
	// HasBudget says that the request names one.
	Budget    int64
	HasBudget bool
	// PromptTokens and MaxOutput are the size of the prompt and the most
	// tokens that the answer may have.
	PromptTokens int64
	MaxOutput    int64
	// ResumeAfter is the last event that the caller has; empty for a request
	// from the start.
	ResumeAfter string
}

// Dispatch is what a target is told beside the request.
type Dispatch struct {
	// TargetID is the only target that may run the request.
	TargetID string
	TimeLeft time.Duration
	// Priority orders requests inside an engine, 0 first. HasPriority says that
	// it is set.
	Priority    int
	HasPriority bool
	// ResumeAfter is the last event that the caller has got from an earlier
	// run; empty if this is the first.
	ResumeAfter string
}

// Answer is what the header of a target's answer says.
type Answer struct {
	// RequestID is the request that is answered; empty if it does not say.
	RequestID string
	// IsNotRun says that the target refused the request and will not run it.
	IsRefused bool
	// IsOtherTarget says that the address belongs to another target.
	IsWrongTarget bool
	// IsLeaving says that the target takes no new requests.
	IsLeaving bool
	// IsSigned says that the answer carries the target's signature.
	IsSigned bool
	// IsEncoded says that the body is not as the target made it.
	IsEncoded bool
}

// Protocol translates the headers that callers and targets use.
type Protocol interface {
	// Call reads the header of a caller's request.
	ParseCall(http.Header) Call
	// Outgoing turns the header of a caller's request into that of a dispatch.
	DispatchHeader(http.Header, Dispatch) http.Header
	// Answer reads the header of a target's answer.
	ParseAnswer(status int, h http.Header) Answer
	// Returned turns the header of a target's answer into that for the caller.
	AnswerHeader(http.Header) http.Header
	// Refusal returns the header of a refusal: which request it is for and
	// when the caller may come back.
	RefusalHeader(requestID string, retryAfter time.Duration) http.Header
}
