// Package engine is the HTTP client for model engines.
package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

const (
	// controlTimeout limits every call except Generate.
	controlTimeout = 5 * time.Second
	// idleTimeout is the maximum time between two events of a stream.
	idleTimeout = time.Minute
)

// Client calls model engines. It implements port.Engine.
type Client struct {
	http        *httpcall.Client
	idleTimeout time.Duration
}

// New returns a client with the default idle timeout of a minute.
func New() *Client { return &Client{http: httpcall.New(), idleTimeout: idleTimeout} }

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Cancel implements port.Engine.
func (c *Client) Cancel(ctx context.Context, target port.Target, requestID string) error {
	return c.control(ctx, target, http.MethodPost, PathCancel, CancelRequest{RequestID: requestID}, nil)
}

// Evict implements port.Engine.
func (c *Client) Evict(ctx context.Context, target port.Target, programID string) error {
	return c.control(ctx, target, http.MethodPost, PathEvict, EvictRequest{ProgramID: programID}, nil)
}

// Status implements port.Engine.
func (c *Client) Status(ctx context.Context, target port.Target) (port.EngineStatus, error) {
	var status port.EngineStatus
	err := c.control(ctx, target, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// Events implements port.Engine.
func (c *Client) Events(ctx context.Context, target port.Target, after uint64) ([]port.CacheEvent, error) {
	query := url.Values{ParamAfter: {strconv.FormatUint(after, 10)}}
	var events []port.CacheEvent
	err := c.control(ctx, target, http.MethodGet, PathEvents+"?"+query.Encode(), nil, &events)
	return events, err
}

// ProgramUsage implements port.Engine.
func (c *Client) ProgramUsage(ctx context.Context, target port.Target, programID string) (map[string]port.Usage, uint64, error) {
	query := url.Values{ParamProgram: {programID}}
	var usage UsageAnswer
	err := c.control(ctx, target, http.MethodGet, PathUsage+"?"+query.Encode(), nil, &usage)
	return usage.Spent, usage.Incarnation, err
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, target port.Target, order port.Order) error {
	return c.control(ctx, target, http.MethodPost, PathOrder, order, nil)
}

func (c *Client) control(ctx context.Context, target port.Target, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.http.CallTarget(ctx, target.Name, method, target.Address+path, in, out)
}
