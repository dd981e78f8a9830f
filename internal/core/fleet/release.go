package fleet

import (
	"maps"
	"slices"
	"time"
)

// Release is a software version of a service's targets.
type Release struct{ Service, Version string }

// Release returns the release of a target.
func (m Member) Release() Release { return Release{Service: m.Service, Version: m.Version} }

// Releases returns the releases of all targets, those that are leaving included.
func (f *Fleet) Releases() []Release {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := make(map[Release]bool)
	for _, t := range f.byID {
		found[t.Release()] = true
	}
	return slices.Collect(maps.Keys(found))
}

// SetAnnounced sets whether all hosts can learn that a release is in use. Resumable streams
// begin at the targets of other releases only if no target has an announced one.
func (f *Fleet) SetAnnounced(r Release, isAnnounced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isAnnounced {
		f.announced[r] = true
		return
	}
	delete(f.announced, r)
}

// IsAnnounced reports whether all hosts can learn that a release is in use.
func (f *Fleet) IsAnnounced(r Release) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced[r]
}

// needsAnnouncedRelease reports whether a request must not begin at targets whose release is
// not announced.
func (f *Fleet) needsAnnouncedRelease(r Request, now time.Time) bool {
	return r.IsResumable && !r.IsVersionBound && slices.ContainsFunc(f.services[r.Service], func(t *Target) bool {
		return t.isUsable(now) && f.announced[t.Release()]
	})
}
