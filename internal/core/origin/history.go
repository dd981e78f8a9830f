// Package origin decides at which software version a stream has begun. It performs no I/O.
package origin

import (
	"maps"
	"time"

	"yuccausher/internal/core/fleet"
)

// History holds the releases of each service that serve or served lately. It is not safe for
// concurrent use.
type History struct {
	// services maps services and versions to when the version left; the zero time while
	// it serves.
	services map[string]map[string]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: make(map[string]map[string]time.Time)} }

// SetServing records that a release serves.
func (h *History) SetServing(r fleet.Release) { h.set(r, time.Time{}) }

// SetLeft records when a release left, unless it is known to have left later.
func (h *History) SetLeft(r fleet.Release, at time.Time) {
	if old, isKnown := h.services[r.Service][r.Version]; !isKnown || old.IsZero() || at.After(old) {
		h.set(r, at)
	}
}

func (h *History) set(r fleet.Release, leftAt time.Time) {
	if h.services[r.Service] == nil {
		h.services[r.Service] = make(map[string]time.Time)
	}
	h.services[r.Service][r.Version] = leftAt
}

// LeftAt returns when a release left; the zero time if it serves. It returns false if the
// release is not known.
func (h *History) LeftAt(r fleet.Release) (time.Time, bool) {
	at, isKnown := h.services[r.Service][r.Version]
	return at, isKnown
}

// Forget removes the releases that left before a time and returns them.
func (h *History) Forget(before time.Time) []fleet.Release {
	var forgotten []fleet.Release
	for service, versions := range h.services {
		for version, leftAt := range versions {
			if !leftAt.IsZero() && leftAt.Before(before) {
				delete(versions, version)
				forgotten = append(forgotten, fleet.Release{Service: service, Version: version})
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	return forgotten
}

// Releases returns all releases that serve or have not been forgotten.
func (h *History) Releases() []fleet.Release {
	var list []fleet.Release
	for service, versions := range h.services {
		for version := range versions {
			list = append(list, fleet.Release{Service: service, Version: version})
		}
	}
	return list
}

// Since returns the versions of a service that serve or have left after a time.
func (h *History) Since(service string, after time.Time) []string {
	var list []string
	for version, leftAt := range h.services[service] {
		if leftAt.IsZero() || leftAt.After(after) {
			list = append(list, version)
		}
	}
	return list
}

// IsMixed reports whether targets of several versions may have begun streams of a service
// after a time.
func (h *History) IsMixed(service string, after time.Time) bool {
	return len(h.Since(service, after)) > 1
}

// Services returns the names of all services.
func (h *History) Services() []string {
	list := make([]string, 0, len(h.services))
	for service := range h.services {
		list = append(list, service)
	}
	return list
}

// Clone returns a copy.
func (h *History) Clone() *History {
	c := NewHistory()
	for service, versions := range h.services {
		c.services[service] = maps.Clone(versions)
	}
	return c
}
