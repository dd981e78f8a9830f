package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/route"
	"yuccausher/internal/core/urgency"
)

// maxKeys is how many keys of one request are looked up. Callers send one; clients that repeat the
// header send a few.
const maxKeys = 8

var (
	// errNoKey reports that a request has no key.
	errNoKey = errors.New("request has no key")
	// errUnknownKey reports that a request has a key that is not in the configuration, or that several
	// organisations have.
	errUnknownKey = errors.New("request has an unknown key")
	// errAmbiguousKeys reports that a request has keys of several organisations, or too many.
	errAmbiguousKeys = errors.New("request has keys of several organisations")
	// errOrganisationUnknown reports that another host has found the organisation of a request, in a
	// version of the configuration that this host does not have.
	errOrganisationUnknown = errors.New("organisation of a request that was handed over is not in the configuration")
)

// identify finds the organisation of the request. It returns false after it has refused the request.
func (j *job) identify(table *route.Table) bool {
	j.organisationCount = table.OrganisationCount()
	if j.sender.isHost && j.sender.IsIdentified {
		return j.identifyBySender(table)
	}
	if !table.RequiresKeys() {
		return true
	}
	j.isIdentified = true
	if j.route.IsPublic {
		return true
	}
	organisation, err := findOrganisation(table, j.g.protocol.ParseKeys(j.r.Header))
	if err != nil {
		j.answerBeforeBody()
		j.w.Header().Set("WWW-Authenticate", "Bearer")
		j.refuseByConfiguration(refusal{status: http.StatusUnauthorized, reason: "unknown_key", cause: err})
		return false
	}
	j.organisation = organisation
	return true
}

// findOrganisation returns the organisation that all of the keys belong to.
func findOrganisation(table *route.Table, keys []string) (*route.Organisation, error) {
	switch {
	case len(keys) == 0:
		return nil, errNoKey
	case len(keys) > maxKeys:
		return nil, errAmbiguousKeys
	}
	var found *route.Organisation
	for _, key := range keys {
		o, ok := table.Organisation(key)
		if !ok {
			return nil, errUnknownKey
		}
		if found != nil && o != found {
			return nil, errAmbiguousKeys
		}
		found = o
	}
	return found, nil
}

// identifyBySender takes the organisation that another host has found. The hosts may have different
// versions of the configuration: a request whose organisation this host does not know gets a refusal
// that lets the caller retry, since its key is known.
func (j *job) identifyBySender(table *route.Table) bool {
	j.isIdentified = true
	name := j.sender.Organisation
	if name == "" && (j.route.IsPublic || !table.RequiresKeys()) {
		return true
	}
	if organisation, ok := table.OrganisationByName(name); ok {
		j.organisation = organisation
		return true
	}
	if !table.RequiresKeys() {
		j.organisation = &route.Organisation{Name: name}
		return true
	}
	j.answerBeforeBody()
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "organisation_unknown", cause: errOrganisationUnknown, retryAfter: unconfiguredRetryAfter})
	return false
}

// answerBeforeBody makes the server send the answer without waiting for the body of the request,
// which a caller may send slowly or never.
func (j *job) answerBeforeBody() {
	// Without support for it, as for requests of other hosts, the answer is not delayed.
	_ = http.NewResponseController(j.w).EnableFullDuplex()
}

// identity returns what targets and other hosts learn of the organisation.
func (j *job) identity() Identity {
	return Identity{IsIdentified: j.isIdentified, Organisation: j.organisationName()}
}

// organisationName returns the name of the organisation; empty without one.
func (j *job) organisationName() string {
	if j.organisation == nil {
		return ""
	}
	return j.organisation.Name
}

// priority returns the priority of the request, 0 for the most urgent: that of its organisation, or
// else that of its route.
func (j *job) priority() int {
	if j.organisation != nil && j.organisation.HasPriority {
		return j.organisation.Priority
	}
	return j.route.Priority
}

// setEnginePriority sets the priority inside the engine: by that of the request if the configuration
// has organisations, and by the time left until the program is due among requests of equal priority.
// sinceArrival is the time since the arrival of the request.
func (j *job) setEnginePriority(d *Dispatch, sinceArrival time.Duration) {
	if j.route.Kind != route.Stream || !j.call.HasFinish && j.band.Count == 0 {
		return
	}
	level := urgency.Default
	if j.call.HasFinish {
		level = urgency.LevelFor(j.call.FinishIn - sinceArrival)
	}
	d.HasPriority, d.Priority = true, int(j.band.Level(level))
}
