package port

import (
	"context"
	"time"
)

// Work describes one call to the scheduler.
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
	// PromptTokens is the whole prompt, history included.
	PromptTokens int64
	MaxTokens    int64
	// AttainedTokens is what the program has been served so far.
	AttainedTokens int64
	// Turns is how many calls of the program have an outcome.
	Turns   int64
	Arrived time.Time
	// Deadline is the earlier of the call's and the program's; zero: none.
	Deadline time.Time
	// Fingerprint identifies the content whatever its request ID.
	Fingerprint uint64
	// Idempotent is always true for model calls.
	Idempotent bool
	// CachedAt maps target names to the tokens of this program's prefix that
	// the target reported or is taken to hold.
	CachedAt map[string]int64
}

// Result tells the scheduler how a dispatch went.
type Result struct {
	// Err is nil after a whole answer.
	Err        *TargetError
	FirstToken time.Duration
	Total      time.Duration
	Usage      Usage
	// Unused says that the result says nothing about the target: nothing was
	// dispatched after all, or the caller gave the call up.
	Inconclusive bool
	// Down says that a service was gone right after it broke the connection.
	// A service that only loses an answer stays up.
	Down bool
}

// Grant is permission to dispatch one call to one target.
type Grant interface {
	Target() Target
	// Priority is handed to the engine; a lower value goes first.
	Priority() int
	// Done gives the slot back. It is called exactly once.
	Done(Result)
}

// Scheduler decides when and where a call is dispatched.
type Scheduler interface {
	// Acquire waits until the work may be dispatched. Its refusals are
	// *fault.Fault with run not_run and a time to come back.
	Acquire(ctx context.Context, work Work) (Grant, error)
	// Retry decides after a failed dispatch whether the work may be tried
	// again, and after which pause. Only work that provably did not run, or
	// that is idempotent, is ever tried again.
	Retry(work Work, attempt int, err *TargetError) (pause time.Duration, ok bool)
	// Pause and Gone tell that a program waits for its caller, or is over:
	// the targets that hold its KV cache are told to keep, export or evict.
	ProgramIdle(work Work)
	ProgramEnded(programID string, holders []string)
}
