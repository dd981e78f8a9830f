// Package hostlist is the HTTP client for the platform's lists of hosts and
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

// Paths of the lists, relative to the platform's address.
const (
	PathHosts   = "/list/hosts"
	PathTargets = "/list/targets"
)

const listTimeout = 5 * time.Second

// Client reads the lists. It implements port.HostList. If the platform sends
// entity tags, a list that is unchanged since the last read is not transferred
// again.
type Client struct {
	http    *httpcall.Client
	hosts   cachedList[port.ListedHost]
	targets cachedList[port.ListedTarget]
}

// cachedList holds the latest snapshot of one list.
type cachedList[T any] struct {
	url    string
	latest atomic.Pointer[snapshot[T]]
}

// snapshot is a list with its entity tag. The entries must not be modified.
type snapshot[T any] struct {
	etag    string
	entries []T
}

// New returns a client for the lists below a base URL.
func New(base string) *Client {
	return &Client{
		http:    httpcall.New(),
		hosts:   cachedList[port.ListedHost]{url: base + PathHosts},
		targets: cachedList[port.ListedTarget]{url: base + PathTargets},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// ListError reports a failure to read a list.
type ListError struct{ Cause error }

// Error implements error.
func (e *ListError) Error() string { return "read host list: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Cause }

// Hosts implements port.HostList. The entries are shared and must not be
// modified.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	return c.hosts.read(ctx, c.http)
}

// Targets implements port.HostList. The entries are shared and must not be
// modified.
func (c *Client) Targets(ctx context.Context) ([]port.ListedTarget, error) {
	return c.targets.read(ctx, c.http)
}

func (l *cachedList[T]) read(ctx context.Context, client *httpcall.Client) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	cached := l.latest.Load()
	if cached == nil {
		cached = &snapshot[T]{}
	}
	status, body, tag, err := client.GetIfChanged(ctx, l.url, cached.etag)
	switch {
	case err != nil:
		return nil, &ListError{Cause: err}
	case status == http.StatusNotModified && cached.etag != "":
		return cached.entries, nil
	case status != http.StatusOK:
		return nil, &ListError{Cause: &httpcall.StatusError{Status: status}}
	}
	entries, err := decodeEntries[T](body)
	if err != nil {
		return nil, err
	}
	l.latest.Store(&snapshot[T]{etag: tag, entries: entries})
	return entries, nil
}

func decodeEntries[T any](body []byte) ([]T, error) {
	var entries []T
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, &ListError{Cause: errors.Annotate(err, "decode list")}
	}
	return entries, nil
}
