package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/cardinality"
)

const (
	// maxOrganisationSeries is how many organisations have counters of their own. The system is
	// designed for 2,100 organisations and 410 hosts, which would make 861,000 series of each counter.
	maxOrganisationSeries = 128
	// noOrganisation is the label of requests on public routes and of those with unknown keys.
	noOrganisation = "_none"
)

// organisationMetrics counts requests by organisation.
type organisationMetrics struct {
	scope tally.Scope

	mu       sync.Mutex
	names    *cardinality.Names
	counters map[string]organisationCounters
}

// organisationCounters count the requests of an organisation and those of them that the host has
// refused.
type organisationCounters struct{ requests, refusals tally.Counter }

func newOrganisationMetrics(scope tally.Scope) *organisationMetrics {
	return &organisationMetrics{scope: scope, names: cardinality.NewNames(maxOrganisationSeries), counters: make(map[string]organisationCounters)}
}

// count counts a request of an organisation, one of total; an empty name means none.
func (m *organisationMetrics) count(name string, total int, isRefused bool) {
	c := m.countersOf(name, total)
	c.requests.Inc(1)
	if isRefused {
		c.refusals.Inc(1)
	}
}

func (m *organisationMetrics) countersOf(name string, total int) organisationCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	label := noOrganisation
	if name != "" {
		label = m.names.Label(name, total, time.Now())
	}
	c, ok := m.counters[label]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"organisation": label})
		c = organisationCounters{requests: scope.Counter("organisation_requests"), refusals: scope.Counter("organisation_refusals")}
		m.counters[label] = c
	}
	return c
}
