package route

import (
	"slices"

	"yuccausher/internal/core/organisation"
)

// Organisation is a customer whose callers identify themselves with keys.
type Organisation struct {
	Name string
	// Priority orders organisations by urgency; 0 is the most urgent. It overrides that of the route
	// if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond is the number of requests per second that the organisation may send to all hosts
	// together, Burst how many more it may send at once. A rate of zero means no limit.
	RatePerSecond float64
	Burst         float64
}

// Member is an organisation of a configuration with its keys.
type Member struct {
	Organisation
	Keys []string
}

// organisations is the index of the organisations of a table.
type organisations struct {
	keys   *organisation.Keys[*Organisation]
	byName map[string]*Organisation
	// priorities are the different priorities that requests may have, in ascending order.
	priorities []int
	faults     []string
}

// newOrganisations returns the index of the organisations of a document, or nil if there are none.
func newOrganisations(d *Document) *organisations {
	n := len(d.Organisations)
	if n == 0 {
		return nil
	}
	o := &organisations{keys: organisation.NewKeys[*Organisation](n), byName: make(map[string]*Organisation, n)}
	for i := range d.Organisations {
		o.add(&d.Organisations[i])
	}
	o.priorities = o.prioritiesOn(d.Routes)
	return o
}

// prioritiesOn returns the different priorities that requests on some routes may have, in ascending
// order.
func (o *organisations) prioritiesOn(routes []Route) []int {
	var list []int
	isRouteUsed := false
	for _, member := range o.byName {
		isRouteUsed = isRouteUsed || !member.HasPriority
		if member.HasPriority {
			list = append(list, member.Priority)
		}
	}
	for i := range routes {
		if isRouteUsed || routes[i].IsPublic {
			list = append(list, routes[i].Priority)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// add adds an organisation. Several entries with one name are one organisation, for which the first
// entry states the priority and the limit.
func (o *organisations) add(m *Member) {
	if m.Name == "" {
		o.faults = append(o.faults, "organisation without a name: its keys are refused")
		return
	}
	owner := o.byName[m.Name]
	if owner == nil {
		// A pointer into m would keep its keys in memory.
		copied := m.Organisation
		owner = &copied
		o.byName[m.Name] = owner
	} else {
		o.faults = append(o.faults, "organisation "+m.Name+" occurs several times: priority and limit of the first entry apply")
	}
	for _, key := range m.Keys {
		if key == "" {
			continue
		}
		if other, ok := o.keys.Add(key, owner); !ok {
			o.faults = append(o.faults, "organisations "+other.Name+" and "+owner.Name+" have a key in common: it is refused")
		}
	}
}

// RequiresKeys reports whether callers must identify themselves on routes that are not public.
func (t *Table) RequiresKeys() bool { return t.organisations != nil }

// Organisation returns the organisation that a key belongs to. It returns false if the key is unknown
// or belongs to several organisations.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	if t.organisations == nil || key == "" {
		return nil, false
	}
	return t.organisations.keys.Owner(key)
}

// OrganisationByName returns an organisation. It returns false if there is none of that name.
func (t *Table) OrganisationByName(name string) (*Organisation, bool) {
	if t.organisations == nil {
		return nil, false
	}
	o, ok := t.organisations.byName[name]
	return o, ok
}

// PriorityRank returns the rank of a priority among the count different ones that requests may have, 0
// for the most urgent. count is zero if the configuration has no organisations.
func (t *Table) PriorityRank(priority int) (rank, count int) {
	if t.organisations == nil {
		return 0, 0
	}
	rank, _ = slices.BinarySearch(t.organisations.priorities, priority)
	return rank, len(t.organisations.priorities)
}

// OrganisationCount returns the number of organisations.
func (t *Table) OrganisationCount() int {
	if t.organisations == nil {
		return 0
	}
	return len(t.organisations.byName)
}

// OrganisationFaults describes the entries of organisations that are applied only in part. The texts
// contain no keys.
func (t *Table) OrganisationFaults() []string {
	if t.organisations == nil {
		return nil
	}
	return slices.Clone(t.organisations.faults)
}
