// Package hostlist is the HTTP client of the platform's list of hosts and
// targets.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
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

// Client reads the lists. It implements port.HostList. A list that has not
// changed since it was read last is not carried again, where the platform
// gives entity tags.
type Client struct {
	http    *httpcall.Client
	hosts   copied[port.ListedHost]
	targets copied[port.ListedTarget]
}

// copied is the latest copy of one list.
type copied[T any] struct {
	url    string
	latest atomic.Pointer[version[T]]
}

// version is a list under its entity tag. The entries must not be changed.
type version[T any] struct {
	tag     string
	entries []T
}

// New returns a client of the lists at a base URL.
func New(base string) *Client {
	return &Client{
		http:    httpcall.New(),
		hosts:   copied[port.ListedHost]{url: base + PathHosts},
		targets: copied[port.ListedTarget]{url: base + PathTargets},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// ListError is a failure to read a list.
type ListError struct{ Cause error }

// Error implements error.
func (e *ListError) Error() string { return "host list failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Cause }

// Hosts implements port.HostList. The entries are shared and must not be
// changed.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	return c.hosts.read(ctx, c.http)
}

// Targets implements port.HostList. The entries are shared and must not be
// changed.
func (c *Client) Targets(ctx context.Context) ([]port.ListedTarget, error) {
	return c.targets.read(ctx, c.http)
}

func (l *copied[T]) read(ctx context.Context, client *httpcall.Client) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	old := l.latest.Load()
	if old == nil {
		old = &version[T]{}
	}
	status, body, tag, err := client.GetIfChanged(ctx, l.url, old.tag)
	switch {
	case err != nil:
		return nil, &ListError{Cause: err}
	case status == http.StatusNotModified && old.tag != "":
		return old.entries, nil
	case status != http.StatusOK:
		return nil, &ListError{Cause: &httpcall.StatusError{Status: status}}
	}
	entries, err := decode[T](body)
	if err != nil {
		return nil, err
	}
	l.latest.Store(&version[T]{tag: tag, entries: entries})
	return entries, nil
}

func decode[T any](body []byte) ([]T, error) {
	var entries []T
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, &ListError{Cause: errors.Annotate(err, "decode list")}
	}
	return entries, nil
}
