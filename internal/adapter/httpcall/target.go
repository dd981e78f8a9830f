package httpcall

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/port"
)

// Refusal is the body of a target's answer that is not a success.
type Refusal struct {
	Failure port.Failure `json:"failure"`
	Message string       `json:"message"`
}

// StatusError is an answer that is not a success.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "answered " + http.StatusText(e.Status) + ": " + e.Message
}

// TransportFailure classifies a call of a target without a complete answer.
func TransportFailure(target string, err error) *port.TargetError {
	return &port.TargetError{Target: target, Failure: transportFailure(err), Cause: err}
}

func transportFailure(err error) port.Failure {
	var failed *TransportError
	if errors.As(err, &failed) && !failed.Sent {
		return port.FailureRefused
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return port.FailureTimeout
	}
	return port.FailureBroken
}

// StatusFailure classifies a target's answer by its status and its body, or
// returns nil for a success.
func StatusFailure(target string, status int, body []byte) *port.TargetError {
	if status == http.StatusOK {
		return nil
	}
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil {
		refusal = Refusal{}
	}
	return &port.TargetError{
		Target:  target,
		Failure: statusFailure(status, refusal.Failure),
		Cause:   &StatusError{Status: status, Message: refusal.Message},
	}
}

func statusFailure(status int, said port.Failure) port.Failure {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if said == port.FailureDraining {
			return port.FailureDraining
		}
		return port.FailureBusy
	case http.StatusConflict:
		if said == port.FailureFenced {
			return port.FailureFenced
		}
		return port.FailureRejected
	}
	if status >= 400 && status < 500 {
		return port.FailureRejected
	}
	return port.FailureBroken
}

// CallTarget calls a target and decodes a successful answer into out, if out
// is not nil. Its error is a *port.TargetError.
func (c *Client) CallTarget(ctx context.Context, target, method, url string, in, out any) error {
	return c.CallTargetWithSendDeadline(ctx, time.Time{}, target, method, url, in, out)
}

// CallTargetWithSendDeadline is CallTarget with the send deadline of OpenWithSendDeadline.
func (c *Client) CallTargetWithSendDeadline(ctx context.Context, sendDeadline time.Time, target, method, url string, in, out any) error {
	status, body, err := c.DoWithSendDeadline(ctx, sendDeadline, method, url, in)
	if err != nil {
		return TransportFailure(target, err)
	}
	if failed := StatusFailure(target, status, body); failed != nil {
		return failed
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &port.TargetError{Target: target, Failure: port.FailureBroken, Cause: errors.Annotate(err, "decode answer")}
	}
	return nil
}
