// Package service is the HTTP client for services that are not model engines.
package service

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

const (
	// invokeTimeout limits every Invoke; a caller's deadline can only shorten it.
	invokeTimeout  = time.Minute
	outcomeTimeout = 5 * time.Second
)

// MismatchError reports that an answer carries the ID of another request.
type MismatchError struct{ Got string }

// Error implements error.
func (e *MismatchError) Error() string { return "answer belongs to request " + e.Got }

// Client calls services that are not model engines. It implements port.Service.
type Client struct {
	pooled *httpcall.Client
	// unpooled makes the non-idempotent calls. When a server closes a reused
	// connection, it is unknown whether the call ran, so these calls each dial
	// a new one.
	unpooled *httpcall.Client
}

// New returns a client.
func New() *Client {
	return &Client{pooled: httpcall.New(), unpooled: httpcall.NewUnpooled()}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.Close() }

// Invoke implements port.Service.
func (c *Client) Invoke(ctx context.Context, target port.Target, call port.ServiceCall) (port.ServiceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, invokeTimeout)
	defer cancel()
	client := c.unpooled
	if call.Idempotent {
		client = c.pooled
	}
	var answer InvokeAnswer
	err := client.CallTargetWithSendDeadline(ctx, call.SendDeadline, target.Name, http.MethodPost, target.Address+PathInvoke, newInvokeRequest(call), &answer)
	if err != nil {
		return port.ServiceResult{}, err
	}
	if answer.RequestID != call.RequestID {
		return port.ServiceResult{}, mismatchError(target, answer.RequestID)
	}
	return port.ServiceResult{RequestID: answer.RequestID, Output: answer.Output}, nil
}

func newInvokeRequest(call port.ServiceCall) InvokeRequest {
	return InvokeRequest{
		ProgramID: call.ProgramID,
		Seq:       call.Seq,
		RequestID: call.RequestID,
		Service:   call.Service,
		Operation: call.Operation,
		Input:     call.Input,
	}
}

func mismatchError(target port.Target, got string) *port.TargetError {
	return &port.TargetError{Target: target.Name, Failure: port.FailureMismatch, Cause: &MismatchError{Got: got}}
}

// Outcome implements port.Service.
func (c *Client) Outcome(ctx context.Context, target port.Target, service, requestID string) (result port.ServiceResult, ran, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	query := url.Values{ParamService: {service}, ParamRequest: {requestID}}
	var answer OutcomeAnswer
	err = c.pooled.CallTarget(ctx, target.Name, http.MethodGet, target.Address+PathOutcome+"?"+query.Encode(), nil, &answer)
	if err != nil {
		return port.ServiceResult{}, false, false, err
	}
	if answer.Ran && answer.RequestID != requestID {
		return port.ServiceResult{}, false, false, mismatchError(target, answer.RequestID)
	}
	return port.ServiceResult{RequestID: answer.RequestID, Output: answer.Output}, answer.Ran, answer.Known, nil
}
