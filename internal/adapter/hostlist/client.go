// Package hostlist is the HTTP client of the platform's list of hosts and
// targets.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/adapter/httpcall"
	"yuccausher/internal/port"
)

// The paths of the lists, below the platform's address.
const (
	PathHosts   = "/list/hosts"
	PathTargets = "/list/targets"
)

const listTimeout = 5 * time.Second

// Client reads the lists. It implements port.HostList.
type Client struct {
	http *httpcall.Client
	base string
}

// New returns a client of the lists at a base URL.
func New(base string) *Client {
	return &Client{http: httpcall.New(), base: base}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// ListError is a failure to read a list.
type ListError struct{ Cause error }

// Error implements error.
func (e *ListError) Error() string { return "host list failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Cause }

// Hosts implements port.HostList.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	return list[port.ListedHost](ctx, c, PathHosts)
}

// Targets implements port.HostList.
func (c *Client) Targets(ctx context.Context) ([]port.ListedTarget, error) {
	return list[port.ListedTarget](ctx, c, PathTargets)
}

func list[T any](ctx context.Context, c *Client, path string) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	status, body, err := c.http.Do(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, &ListError{Cause: err}
	}
	if status != http.StatusOK {
		return nil, &ListError{Cause: &httpcall.StatusError{Status: status}}
	}
	var entries []T
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, &ListError{Cause: errors.Annotate(err, "decode list")}
	}
	return entries, nil
}
