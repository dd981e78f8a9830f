package engine

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/eventstream"
	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

// StreamError says in which way a stream broke its form.
type StreamError struct{ Problem string }

// Error implements error.
func (e *StreamError) Error() string { return "stream: " + e.Problem }

// The ways in which a stream breaks its form.
var (
	errOtherIDs  = &StreamError{Problem: "IDs of another request"}
	errGap       = &StreamError{Problem: "gap in the output"}
	errNotWhole  = &StreamError{Problem: "output not whole"}
	errNoEnd     = &StreamError{Problem: "ended without its typed end"}
	errNoStream  = &StreamError{Problem: "answer is not an event stream"}
	errIdle      = &StreamError{Problem: "no event in time"}
	errEventName = &StreamError{Problem: "event of unknown name"}
)

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, target port.Target, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(c.idle, func() { cancel(errIdle) })
	defer watch.Stop()

	response, err := c.http.Open(ctx, http.MethodPost, target.Address+PathGenerate, requestOf(call))
	if err != nil {
		return port.ModelResult{}, transportFailure(ctx, target.Name, 0, err)
	}
	defer response.Body.Close()
	if err := checkHeader(target.Name, response); err != nil {
		return port.ModelResult{}, err
	}
	s := &stream{
		target: target.Name,
		call:   call,
		sink:   sink,
		next:   call.ResumeFrom,
		events: eventstream.NewReader(response.Body, httpcall.MaxBodyBytes),
		alive:  func() { watch.Reset(c.idle) },
	}
	return s.run(ctx)
}

func requestOf(call port.ModelCall) GenerateRequest {
	return GenerateRequest{
		ProgramID:  call.ProgramID,
		Seq:        call.Seq,
		RequestID:  call.RequestID,
		Model:      call.Model,
		Prompt:     call.Prompt,
		MaxTokens:  call.MaxTokens,
		Priority:   call.Priority,
		ResumeFrom: call.ResumeFrom,
	}
}

// checkHeader returns a failure for an answer that is not an event stream.
func checkHeader(target string, response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		body, err := httpcall.ReadBody(response)
		if err != nil {
			body = nil
		}
		return httpcall.StatusFailure(target, response.StatusCode, body)
	}
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || media != eventstream.ContentType {
		return &port.TargetError{Target: target, Failure: port.FailureBroken, Cause: errNoStream}
	}
	return nil
}

// transportFailure classifies a failed connection, idleness included.
func transportFailure(ctx context.Context, target string, got int64, err error) *port.TargetError {
	failed := httpcall.TransportFailure(target, err)
	failed.OutputBytes = got
	if context.Cause(ctx) == errIdle && failed.Failure == port.FailureBroken {
		failed.Failure, failed.Cause = port.FailureTimeout, errIdle
	}
	return failed
}

// stream is one answer of an engine as it comes.
type stream struct {
	target string
	call   port.ModelCall
	sink   port.Sink
	// next is the offset of the next byte of the output.
	next   int64
	events *eventstream.Reader
	// alive is called at each event.
	alive func()
}

// run reads the stream up to its typed end.
func (s *stream) run(ctx context.Context) (port.ModelResult, error) {
	for {
		event, err := s.events.Next()
		if err != nil {
			return port.ModelResult{}, s.broken(ctx, err)
		}
		s.alive()
		switch event.Name {
		case EventDelta:
			if err := s.delta(event.Data); err != nil {
				return port.ModelResult{}, err
			}
		case EventDone:
			return s.done(event.Data)
		case EventError:
			return port.ModelResult{}, s.refused(event.Data)
		default:
			return port.ModelResult{}, s.fail(port.FailureBroken, errEventName)
		}
	}
}

func (s *stream) delta(data []byte) error {
	var d DeltaEvent
	if err := json.Unmarshal(data, &d); err != nil {
		return s.fail(port.FailureBroken, errors.Annotate(err, "decode delta"))
	}
	if d.RequestID != s.call.RequestID || d.ProgramID != s.call.ProgramID {
		return s.fail(port.FailureMismatch, errOtherIDs)
	}
	if d.Offset != s.next {
		return s.fail(port.FailureBroken, errGap)
	}
	s.next += int64(len(d.Text))
	if s.sink == nil {
		return nil
	}
	if err := s.sink(port.Delta{Offset: d.Offset, Text: d.Text}); err != nil {
		return s.fail(port.FailureBroken, err)
	}
	return nil
}

func (s *stream) done(data []byte) (port.ModelResult, error) {
	var d DoneEvent
	if err := json.Unmarshal(data, &d); err != nil {
		return port.ModelResult{}, s.fail(port.FailureBroken, errors.Annotate(err, "decode end"))
	}
	if d.RequestID != s.call.RequestID || d.ProgramID != s.call.ProgramID {
		return port.ModelResult{}, s.fail(port.FailureMismatch, errOtherIDs)
	}
	if int64(len(d.Output)) != s.next {
		return port.ModelResult{}, s.fail(port.FailureBroken, errNotWhole)
	}
	return d.result(), nil
}

func (d DoneEvent) result() port.ModelResult {
	return port.ModelResult{RequestID: d.RequestID, ProgramID: d.ProgramID, Output: d.Output, Usage: d.Usage}
}

// refused returns the failure that the engine names in the stream. Once a
// stream has begun, none of them proves that the request did not run.
func (s *stream) refused(data []byte) error {
	var r httpcall.Refusal
	if err := json.Unmarshal(data, &r); err != nil {
		return s.fail(port.FailureBroken, errors.Annotate(err, "decode error"))
	}
	failure := r.Failure
	if failure != port.FailureTimeout && failure != port.FailureRejected {
		failure = port.FailureBroken
	}
	return s.fail(failure, &StreamError{Problem: r.Message})
}

func (s *stream) broken(ctx context.Context, err error) error {
	if err == io.EOF {
		return s.fail(port.FailureBroken, errNoEnd)
	}
	return transportFailure(ctx, s.target, s.next, &httpcall.TransportError{Sent: true, Cause: err})
}

func (s *stream) fail(failure port.Failure, cause error) *port.TargetError {
	return &port.TargetError{Target: s.target, Failure: failure, OutputBytes: s.next, Cause: cause}
}
