// Package httpcall makes HTTP calls with bounded sizes and tells which of them
// provably never left.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	idleConns       = 512
	idleConnsPerOne = 64
	maxHeaderBytes  = 64 << 10
	contentType     = "application/json"
	// MaxBodyBytes bounds a whole answer.
	MaxBodyBytes = 16 << 20
)

// Client makes HTTP calls. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client that keeps connections open between calls.
func New() *Client { return newClient(false) }

// NewUnpooled returns a client that dials for each call, so that a refused
// dial proves that the call did not leave.
func NewUnpooled() *Client { return newClient(true) }

func newClient(unpooled bool) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerOne,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect hands a redirect to the caller, who takes it for a failure.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// TransportError is a call without a whole answer.
type TransportError struct {
	// Sent is false if the call provably did not leave.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Sent {
		return "no whole answer: " + e.Cause.Error()
	}
	return "call not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// TooLargeError says that an answer exceeds its bound, in bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return "answer exceeds its size bound" }

// Open sends a request with in as its JSON body, if in is not nil, and returns
// the answer with its body unread. Its error is a *TransportError.
func (c *Client) Open(ctx context.Context, method, url string, in any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, url, in)
	if err != nil {
		return nil, &TransportError{Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &TransportError{Sent: connected.Load(), Cause: errors.Trace(err)}
	}
	return response, nil
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Annotate(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", contentType)
	return request, nil
}

// Do sends a request and reads the whole answer. Its error is a
// *TransportError.
func (c *Client) Do(ctx context.Context, method, url string, in any) (status int, body []byte, err error) {
	response, err := c.Open(ctx, method, url, in)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = ReadBody(response)
	if err != nil {
		return 0, nil, &TransportError{Sent: true, Cause: err}
	}
	return response.StatusCode, body, nil
}

// ReadBody reads the whole body of an answer, up to MaxBodyBytes.
func ReadBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > MaxBodyBytes {
		return nil, &TooLargeError{Limit: MaxBodyBytes}
	}
	return body, nil
}
