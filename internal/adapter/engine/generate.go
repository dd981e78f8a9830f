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

// StreamError reports a protocol violation, a time-out or an error event in an
// engine's stream.
type StreamError struct{ Problem string }

// Error implements error.
func (e *StreamError) Error() string { return "stream: " + e.Problem }

// Errors of a stream that does not follow the protocol.
var (
	errIDMismatch       = &StreamError{Problem: "program or request ID does not match the call"}
	errOffsetGap        = &StreamError{Problem: "delta does not start at the expected offset"}
	errIncompleteOutput = &StreamError{Problem: "output length differs from the deltas received"}
	errNoFinalEvent     = &StreamError{Problem: "ended without a final event"}
	errNotEventStream   = &StreamError{Problem: "answer is not an event stream"}
	errIdleTimeout      = &StreamError{Problem: "no event within the idle timeout"}
	errUnknownEvent     = &StreamError{Problem: "unknown event name"}
)

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, target port.Target, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.idleTimeout, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()

	response, err := c.http.Open(ctx, http.MethodPost, target.Address+PathGenerate, newGenerateRequest(call))
	if err != nil {
		return port.ModelResult{}, transportFailure(ctx, target.Name, 0, err)
	}
	defer response.Body.Close()
	if err := checkHeader(target.Name, response); err != nil {
		return port.ModelResult{}, err
	}
	s := &stream{
		target:     target.Name,
		call:       call,
		sink:       sink,
		nextOffset: call.ResumeFrom,
		events:     eventstream.NewReader(response.Body, httpcall.MaxBodyBytes),
		onEvent:    func() { idleTimer.Reset(c.idleTimeout) },
	}
	return s.run(ctx)
}

func newGenerateRequest(call port.ModelCall) GenerateRequest {
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

// checkHeader returns a *port.TargetError unless the answer is an event stream
// with status 200.
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
		return &port.TargetError{Target: target, Failure: port.FailureBroken, Cause: errNotEventStream}
	}
	return nil
}

// transportFailure classifies a transport error. It reports an idle timeout as
// port.FailureTimeout.
func transportFailure(ctx context.Context, target string, outputBytes int64, err error) *port.TargetError {
	failed := httpcall.TransportFailure(target, err)
	failed.OutputBytes = outputBytes
	if context.Cause(ctx) == errIdleTimeout && failed.Failure == port.FailureBroken {
		failed.Failure, failed.Cause = port.FailureTimeout, errIdleTimeout
	}
	return failed
}

// stream reads the streamed answer to one call.
type stream struct {
	target string
	call   port.ModelCall
	sink   port.Sink
	// nextOffset is the byte offset at which the next delta must start.
	nextOffset int64
	events     *eventstream.Reader
	// onEvent is called for each event.
	onEvent func()
}

// run reads the stream up to its final event. Its error is a *port.TargetError.
func (s *stream) run(ctx context.Context) (port.ModelResult, error) {
	for {
		event, err := s.events.Next()
		if err != nil {
			return port.ModelResult{}, s.readError(ctx, err)
		}
		s.onEvent()
		switch event.Name {
		case EventDelta:
			if err := s.handleDelta(event.Data); err != nil {
				return port.ModelResult{}, err
			}
		case EventDone:
			return s.handleDone(event.Data)
		case EventError:
			return port.ModelResult{}, s.handleError(event.Data)
		default:
			return port.ModelResult{}, s.targetError(port.FailureBroken, errUnknownEvent)
		}
	}
}

func (s *stream) handleDelta(data []byte) error {
	var d DeltaEvent
	if err := json.Unmarshal(data, &d); err != nil {
		return s.targetError(port.FailureBroken, errors.Annotate(err, "decode delta"))
	}
	if d.RequestID != s.call.RequestID || d.ProgramID != s.call.ProgramID {
		return s.targetError(port.FailureMismatch, errIDMismatch)
	}
	if d.Offset != s.nextOffset {
		return s.targetError(port.FailureBroken, errOffsetGap)
	}
	s.nextOffset += int64(len(d.Text))
	if s.sink == nil {
		return nil
	}
	if err := s.sink(port.Delta{Offset: d.Offset, Text: d.Text}); err != nil {
		return s.targetError(port.FailureBroken, err)
	}
	return nil
}

func (s *stream) handleDone(data []byte) (port.ModelResult, error) {
	var d DoneEvent
	if err := json.Unmarshal(data, &d); err != nil {
		return port.ModelResult{}, s.targetError(port.FailureBroken, errors.Annotate(err, "decode final event"))
	}
	if d.RequestID != s.call.RequestID || d.ProgramID != s.call.ProgramID {
		return port.ModelResult{}, s.targetError(port.FailureMismatch, errIDMismatch)
	}
	if int64(len(d.Output)) != s.nextOffset {
		return port.ModelResult{}, s.targetError(port.FailureBroken, errIncompleteOutput)
	}
	return d.result(), nil
}

func (d DoneEvent) result() port.ModelResult {
	return port.ModelResult{RequestID: d.RequestID, ProgramID: d.ProgramID, Output: d.Output, Usage: d.Usage}
}

// handleError returns the failure that an error event reports. Once a stream has
// started, the request may have run, so a failure that would imply otherwise
// becomes port.FailureBroken.
func (s *stream) handleError(data []byte) error {
	var r httpcall.Refusal
	if err := json.Unmarshal(data, &r); err != nil {
		return s.targetError(port.FailureBroken, errors.Annotate(err, "decode error event"))
	}
	failure := r.Failure
	if failure != port.FailureTimeout && failure != port.FailureRejected {
		failure = port.FailureBroken
	}
	return s.targetError(failure, &StreamError{Problem: r.Message})
}

func (s *stream) readError(ctx context.Context, err error) error {
	if err == io.EOF {
		return s.targetError(port.FailureBroken, errNoFinalEvent)
	}
	return transportFailure(ctx, s.target, s.nextOffset, &httpcall.TransportError{Sent: true, Cause: err})
}

func (s *stream) targetError(failure port.Failure, cause error) *port.TargetError {
	return &port.TargetError{Target: s.target, Failure: failure, OutputBytes: s.nextOffset, Cause: cause}
}
