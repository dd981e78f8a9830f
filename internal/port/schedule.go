package port

import (
	"context"
	"time"
)

// Work describes one call for the scheduler.
type Work struct {
	ProgramID    string
	RootID       string
	RequestID    string
	Organisation string
	Agent        string
	Class        string
	Kind         Kind
	// Name is the model or the service.
	Name string
	// PromptTokens is the length of the prompt, including the history.
	PromptTokens int64
	MaxTokens    int64
	// AttainedTokens is the number of tokens that the program has been served
	// so far.
	AttainedTokens int64
	// Turns is the number of the program's calls that have an outcome.
	Turns   int64
	Arrived time.Time
	// Deadline is the earlier of the call's and the program's deadlines; zero
	// means none.
	Deadline time.Time
	// Fingerprint identifies the content independently of the request ID.
	Fingerprint uint64
	// Idempotent is always true for model calls.
	Idempotent bool
	// CachedAt maps target names to the number of tokens of this program's
	// prefix in the target's cache, as reported by the target or estimated.
	CachedAt map[string]int64
}

// Result reports the outcome of a dispatch to the scheduler.
type Result struct {
	// Err is nil after a complete answer.
	Err        *TargetError
	FirstToken time.Duration
	Total      time.Duration
	Usage      Usage
	// Inconclusive is true if the result says nothing about the health of the
	// target: nothing was dispatched, or the caller cancelled the call.
	Inconclusive bool
	// Down is true if a service could not be reached right after it broke the
	// connection. A service that only loses an answer stays up.
	Down bool
}

// Grant is permission to dispatch one call to one target.
type Grant interface {
	Target() Target
	// Priority is the priority inside the engine; lower values run first.
	Priority() int
	// Done releases the slot. It must be called exactly once.
	Done(Result)
}

// Scheduler decides when and where a call is dispatched.
type Scheduler interface {
	// Acquire waits until the work may be dispatched. Its refusals are
	// *fault.Fault with run not_run and a retry-after time.
	Acquire(ctx context.Context, work Work) (Grant, error)
	// Retry decides after a failed dispatch whether the work may be retried,
	// and after which pause. Only work that provably did not run, or that is
	// idempotent, is retried.
	Retry(work Work, attempt int, err *TargetError) (pause time.Duration, ok bool)
	// ProgramIdle reports that a program waits for its next call, ProgramEnded
	// that it has ended. The targets that hold its KV cache are then ordered to
	// keep, export or evict it. holders are the names of these targets.
	ProgramIdle(work Work)
	ProgramEnded(programID string, holders []string)
}
