// Package httpcall makes HTTP calls with bounded sizes and reports which of them
// were provably not sent.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/fieldname"
)

const (
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
	http     *http.Client
	unpooled bool
}

// New returns a client that keeps connections open between calls.
func New() *Client { return newClient(false) }

// NewUnpooled returns a client that dials for each call, so that it knows
// whether any byte of the call was written.
func NewUnpooled() *Client { return newClient(true) }

func newClient(unpooled bool) *Client {
	transport := &http.Transport{
		DialContext:            dialExchange,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerOne,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
	}
	return &Client{
		http:     &http.Client{Transport: fieldname.Transport{Transport: transport}, CheckRedirect: refuseRedirect},
		unpooled: unpooled,
	}
}

// refuseRedirect returns redirects to the caller, which treats them as failures.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// TransportError is a call without a complete answer.
type TransportError struct {
	// Sent is false if the call was provably not sent.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.Sent {
		return "no complete answer: " + e.Cause.Error()
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
	return c.OpenWithSendDeadline(ctx, time.Time{}, method, url, in)
}

// OpenWithSendDeadline is Open with a time on the monotonic clock after which no
// byte may be written; zero means none. A pooled client checks the clock before it
// takes a connection, an unpooled one before each write.
func (c *Client) OpenWithSendDeadline(ctx context.Context, sendDeadline time.Time, method, url string, in any) (*http.Response, error) {
	call := &exchange{sendDeadline: sendDeadline}
	if call.isPastDeadline() {
		return nil, &TransportError{Cause: &SendDeadlineError{}}
	}
	request, err := newRequest(c.watch(ctx, call), method, url, in)
	if err != nil {
		return nil, &TransportError{Cause: err}
	}
	return c.send(call, request)
}

func (c *Client) send(call *exchange, request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &TransportError{Sent: call.sent.Load(), Cause: errors.Trace(err)}
	}
	return response, nil
}

// watch returns a context that records in the exchange whether bytes were sent. A
// pooled connection serves many exchanges, so a call is treated as sent as soon as
// it gets one.
func (c *Client) watch(ctx context.Context, call *exchange) context.Context {
	if c.unpooled {
		return withExchange(ctx, call)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { call.sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
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
	return c.DoWithSendDeadline(ctx, time.Time{}, method, url, in)
}

// DoWithSendDeadline is Do with the send deadline of OpenWithSendDeadline.
func (c *Client) DoWithSendDeadline(ctx context.Context, sendDeadline time.Time, method, url string, in any) (status int, body []byte, err error) {
	response, err := c.OpenWithSendDeadline(ctx, sendDeadline, method, url, in)
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

// GetIfChanged reads a resource unless it still has an entity tag: the status
// is then http.StatusNotModified and there is no body. An empty tag reads it in
// any case. Its error is a *TransportError.
func (c *Client) GetIfChanged(ctx context.Context, url, tag string) (status int, body []byte, newTag string, err error) {
	call := &exchange{}
	request, err := newRequest(c.watch(ctx, call), http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, "", &TransportError{Cause: err}
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.send(call, request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	body, err = ReadBody(response)
	if err != nil {
		return 0, nil, "", &TransportError{Sent: true, Cause: err}
	}
	return response.StatusCode, body, response.Header.Get("ETag"), nil
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
