// Package caller is a client of the outside interface, for demonstrations and
// tests. It sends a request to the next host, under the same request ID, where
// one does not answer.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/httpapi"
	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	// attemptTimeout bounds one attempt at one host.
	attemptTimeout = 4 * time.Second
	// minPause and maxPause bound the pause between two rounds.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Caller calls hosts in turn. It is safe for concurrent use.
type Caller struct {
	http  *httpcall.Client
	bases []string
}

// New returns a caller of hosts, given by their base URLs.
func New(bases ...string) *Caller {
	return &Caller{http: httpcall.New(), bases: bases}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.http.Close() }

// At returns a caller that starts with the host of an index.
func (c *Caller) At(host int) *Caller {
	bases := append(append([]string{}, c.bases[host:]...), c.bases[:host]...)
	return &Caller{http: c.http, bases: bases}
}

// Program asks for a new program.
type Program struct {
	Organisation string `json:"firm"`
	Agent        string `json:"agent"`
	Class        string `json:"class,omitempty"`
	Budget       Budget `json:"budget"`
	DeadlineMS   int64  `json:"deadline_ms,omitempty"`
	Parent       string `json:"parent,omitempty"`
	RequestID    string `json:"request_id"`
}

// Budget bounds a program.
type Budget struct {
	Tokens int64 `json:"tokens"`
}

// Opened is the answer to a request for a program.
type Opened struct {
	ProgramID string `json:"program_id"`
	NextSeq   int64  `json:"next_seq"`
}

// Call is one call of a program.
type Call struct {
	Seq       int64           `json:"seq"`
	RequestID string          `json:"request_id"`
	Kind      port.Kind       `json:"kind"`
	Model     string          `json:"model,omitempty"`
	MaxTokens int64           `json:"max_tokens,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	Service   string          `json:"service,omitempty"`
	Operation string          `json:"operation,omitempty"`
	Input     json.RawMessage `json:"input"`
	TimeoutMS int64           `json:"timeout_ms,omitempty"`
}

// Open opens a program.
func (c *Caller) Open(ctx context.Context, p Program) (Opened, error) {
	var opened Opened
	err := c.do(ctx, http.MethodPost, "/v1/programs", p, &opened)
	return opened, err
}

// Call makes a call without a stream.
func (c *Caller) Call(ctx context.Context, programID string, call Call) (port.Answer, error) {
	var answer port.Answer
	err := c.do(ctx, http.MethodPost, pathOf(programID)+"/calls", call, &answer)
	return answer, err
}

// Program returns what callers may see of a program.
func (c *Caller) Program(ctx context.Context, programID string) (port.ProgramView, error) {
	var view port.ProgramView
	err := c.do(ctx, http.MethodGet, pathOf(programID), nil, &view)
	return view, err
}

// History returns the finished calls of a program.
func (c *Caller) History(ctx context.Context, programID string) ([]port.Turn, error) {
	var history struct {
		Turns []port.Turn `json:"turns"`
	}
	err := c.do(ctx, http.MethodGet, pathOf(programID)+"/history", nil, &history)
	return history.Turns, err
}

// Answer returns the recorded answer of a call.
func (c *Caller) Answer(ctx context.Context, programID string, seq int64) (port.Answer, error) {
	var answer port.Answer
	path := pathOf(programID) + "/calls/" + strconv.FormatInt(seq, 10)
	err := c.do(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// End ends a program.
func (c *Caller) End(ctx context.Context, programID string) error {
	return c.do(ctx, http.MethodDelete, pathOf(programID), nil, nil)
}

// Get reads a value from the first host alone.
func (c *Caller) Get(ctx context.Context, path string, into any) error {
	return c.once(ctx, http.MethodGet, c.bases[0]+path, nil, into)
}

func pathOf(programID string) string { return "/v1/programs/" + programID }

// do asks the hosts in turn until one gives a final answer.
func (c *Caller) do(ctx context.Context, method, path string, in, out any) error {
	return c.rounds(ctx, func(base string) error {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return c.once(ctx, method, base+path, in, out)
	})
}

// rounds tries the hosts in turn, with pauses between the rounds, until an
// attempt ends with something else than a reason to come back.
func (c *Caller) rounds(ctx context.Context, attempt func(base string) error) error {
	for {
		pause := maxPause
		var err error
		for _, base := range c.bases {
			if err = attempt(base); !mayComeBack(err) {
				return err
			}
			pause = min(pause, pauseAfter(err))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return err
		}
	}
}

// mayComeBack says whether a failed request may be sent again: the hosts know
// a repeated one by its request ID.
func mayComeBack(err error) bool {
	if err == nil {
		return false
	}
	f, ok := fault.As(err)
	if !ok {
		return true
	}
	switch f.Type {
	case fault.Overloaded, fault.NoTarget, fault.LogUnavailable, fault.NotReady, fault.Timeout:
		return true
	case fault.TargetFailed:
		// The recorded answer can be had.
		return f.Run == fault.Ran && f.RetryAfter > 0
	}
	return false
}

func pauseAfter(err error) time.Duration {
	f, ok := fault.As(err)
	if !ok {
		return minPause
	}
	return max(f.RetryAfter, minPause)
}

// once makes one attempt. A failure that the host names is a *fault.Fault.
func (c *Caller) once(ctx context.Context, method, url string, in, out any) error {
	status, body, err := c.http.Do(ctx, method, url, in)
	if err != nil {
		return errors.Trace(err)
	}
	if status != http.StatusOK && status != http.StatusCreated {
		return faultOf(status, body)
	}
	if out == nil {
		return nil
	}
	return errors.Annotate(json.Unmarshal(body, out), "decode answer")
}

// faultOf decodes a failure.
func faultOf(status int, body []byte) error {
	var b httpapi.ErrorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Type == "" {
		return errors.Trace(&httpcall.StatusError{Status: status, Message: string(body)})
	}
	f := fault.New(b.Error.Type, b.Error.Run, "%s", b.Error.Message)
	f.RequestID = b.Error.RequestID
	f.RetryAfter = time.Duration(b.Error.RetryAfterMS) * time.Millisecond
	f.Fields = b.Error.Fields
	return f
}
