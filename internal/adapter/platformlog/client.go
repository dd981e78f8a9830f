// Package platformlog is the HTTP client for the platform's log service.
package platformlog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

const (
	appendTimeout = 5 * time.Second
	// readTimeoutMargin is added to the wait of a read to get its timeout.
	readTimeoutMargin = 5 * time.Second
)

// Values of port.LogError.Op.
const (
	opAppend = "append"
	opRead   = "read"
)

// Client calls the log service. It implements port.Log.
type Client struct {
	http *httpcall.Client
	base string
}

// New returns a client for the log service at a base URL.
func New(base string) *Client {
	return &Client{http: httpcall.New(), base: base}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Append implements port.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	status, body, err := c.http.Do(ctx, http.MethodPost, c.url(stream), AppendRequest{Records: records})
	if err != nil {
		return 0, &port.LogError{Op: opAppend, Stream: stream, Ambiguous: mayHaveBeenSent(err), Cause: err}
	}
	if status != http.StatusOK {
		return 0, appendStatusError(stream, status, body)
	}
	var answer AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, &port.LogError{Op: opAppend, Stream: stream, Ambiguous: true, Cause: errors.Annotate(err, "decode answer")}
	}
	return answer.Offset, nil
}

func mayHaveBeenSent(err error) bool {
	var failed *httpcall.TransportError
	return !errors.As(err, &failed) || failed.Sent
}

// appendStatusError classifies an unsuccessful answer to an append. Only a 4xx
// status other than 408 proves that nothing was written.
func appendStatusError(stream string, status int, body []byte) *port.LogError {
	return &port.LogError{
		Op:          opAppend,
		Stream:      stream,
		RateLimited: status == http.StatusTooManyRequests,
		Ambiguous:   status < 400 || status >= 500 || status == http.StatusRequestTimeout,
		Cause:       statusError(status, body),
	}
}

func statusError(status int, body []byte) *httpcall.StatusError {
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil {
		refusal = Refusal{}
	}
	return &httpcall.StatusError{Status: status, Message: refusal.Message}
}

// Read implements port.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	query := url.Values{
		ParamFrom: {strconv.FormatInt(from, 10)},
		ParamWait: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, body, err := c.http.Do(ctx, http.MethodGet, c.url(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return port.Page{}, &port.LogError{Op: opRead, Stream: stream, Cause: err}
	}
	if status != http.StatusOK {
		return port.Page{}, &port.LogError{Op: opRead, Stream: stream, Cause: statusError(status, body)}
	}
	return decodePage(stream, from, body)
}

// OrderError reports a record whose offset does not follow that of the record
// before it, or is not the first one expected.
type OrderError struct{ Offset int64 }

// Error implements error.
func (e *OrderError) Error() string {
	return "record out of order at offset " + strconv.FormatInt(e.Offset, 10)
}

func decodePage(stream string, from int64, body []byte) (port.Page, error) {
	var page port.Page
	if err := json.Unmarshal(body, &page); err != nil {
		return port.Page{}, &port.LogError{Op: opRead, Stream: stream, Cause: errors.Annotate(err, "decode page")}
	}
	next := max(from, page.Oldest)
	for _, r := range page.Records {
		if r.Offset != next {
			return port.Page{}, &port.LogError{Op: opRead, Stream: stream, Cause: &OrderError{Offset: r.Offset}}
		}
		next++
	}
	return page, nil
}

func (c *Client) url(stream string) string {
	return c.base + PathStreams + url.PathEscape(stream)
}
