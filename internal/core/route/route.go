// Package route decides where a caller's request goes: an immutable table of
// routes by host name and path prefix, built from one version of the
// configuration.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how a route's requests may be repeated and how they are answered.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// Once requests run at most once per attempt of a caller.
	Once
	// Stream requests are answered by a series of events.
	Stream
)

// String names the kind.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Stream:
		return "stream"
	}
	return "idempotent"
}

// Share is a service and the relative number of requests that it gets.
type Share struct {
	Service string
	Weight  int
}

// Route is one entry of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued by another run after the last event
	// that arrived.
	Resumable bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxEventGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Priority int
	// Attempts is how many targets may run one attempt of a caller.
	Attempts int
	Shares   []Share
	// CarriesPrograms says that the route's requests are turns of programs,
	// which spend their programs' budgets.
	CarriesPrograms bool
	// KeepsConversations says that the route's requests carry only what is new in a
	// turn. What came before is kept by the system.
	KeepsConversations bool
	// Retention is for how long a turn is kept after its end.
	Retention time.Duration
}

// IsIdempotent says whether a request may run again after an unknown outcome.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service of a request. Requests with the same key go to the
// same service while the route does not change, so that the turns of a session
// find their cached prefixes.
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

// Engine describes the model engines behind a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryTokens is the KV cache of an engine, in tokens.
	MemoryTokens int64
	// EventTokens is how many tokens each event of a stream counts for.
	EventTokens int64
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all hosts to one target.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
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
}

// Table is one version of the configuration, ready for lookups. It does not
// change.
type Table struct {
	Version  int64
	Limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
}

// NewTable builds the table of a document.
func NewTable(d Document) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
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

// Match returns the route with the longest prefix of path among those of the
// host, or nil. The host may carry a port.
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

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Retention returns the longest time for which a route keeps turns; zero if none
// keeps conversations.
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

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
