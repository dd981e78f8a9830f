// Package route finds the route of a caller's request in an immutable table of
// routes by host name and path prefix. A table is built from one version of the
// configuration.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether a route's requests may be repeated and how they are
// answered.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// Once requests run at most once for each attempt of a caller.
	Once
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Stream:
		return "stream"
	}
	return "idempotent"
}

// Share is a service and its weight among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Route is one route of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued by another run of the request after the
	// last event that was received.
	Resumable bool
	// Timeout is the maximum time to the end of the answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, counts as on time.
	Objective time.Duration
	// MaxEventGap is the longest time between two events of a stream that counts
	// as on time.
	MaxEventGap time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of targets that run one attempt of a caller.
	Attempts int
	Shares   []Share
	// CarriesPrograms is set if the route's requests are turns of programs, which
	// spend the budgets of their programs.
	CarriesPrograms bool
	// KeepsConversations is set if the route's requests contain only the new input
	// of a turn. The hosts store the earlier turns.
	KeepsConversations bool
	// Retention is how long a turn is stored after its end.
	Retention time.Duration
	// IsPublic means that the route's requests need no key of an organisation.
	IsPublic bool
}

// IsIdempotent reports whether a request may run again after an unknown outcome.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the name of the service for a request, or an empty string if no
// share has a weight. Requests with the same key go to the same service while the
// route does not change, so that the turns of a session find their cached prefixes.
func (r *Route) Service(key string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs concurrently.
	Slots int
	// MemoryTokens is the size of an engine's KV cache, in tokens.
	MemoryTokens int64
	// EventTokens is how many tokens each event of a stream counts as.
	EventTokens int64
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections of all hosts to one target.
	MaxConnections int
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Limits bounds the size and duration of a caller's request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are those whose callers have keys. If there are none, no key is required.
	Organisations []Member
}

// Table is an immutable index of one version of the configuration.
type Table struct {
	Version  int64
	Limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	// organisations is nil if the configuration has none.
	organisations   *organisations
	carriesPrograms bool
}

// CarriesPrograms reports whether requests of a route are turns of programs.
func (t *Table) CarriesPrograms() bool { return t.carriesPrograms }

// NewTable returns the table of a document.
func NewTable(d Document) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),

		organisations: newOrganisations(&d),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.carriesPrograms = t.carriesPrograms || r.CarriesPrograms
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil if
// there is none. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Retention returns the longest time for which any route stores turns, or zero if
// no route keeps conversations.
func (t *Table) Retention() time.Duration {
	var longest time.Duration
	for _, list := range t.byHost {
		for _, r := range list {
			if r.KeepsConversations {
				longest = max(longest, r.Retention)
			}
		}
	}
	return longest
}

// LongestStream returns the longest timeout of any route with resumable streams, or zero if there
// is none.
func (t *Table) LongestStream() time.Duration {
	var longest time.Duration
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Kind == Stream && r.Resumable {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
