package fleet

import (
	"time"

	"yuccausher/internal/core/ratelimit"
)

// TargetLimit is what a host knows of the rate limit of one run of a target.
type TargetLimit struct {
	ID        string
	StartedAt int64
	ratelimit.Statement
}

// ObserveLimit records a statement about the rate limit of a run of a target. It returns
// true if the limit in force has changed, false also for runs that the fleet does not
// contain.
func (f *Fleet) ObserveLimit(l TargetLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[l.ID]
	if t == nil || t.StartedAt != l.StartedAt || !t.limit.Observe(l.Statement) {
		return false
	}
	t.deniedUntil = time.Time{}
	if t.isLimited() {
		f.limited[t.ID] = t
	} else {
		delete(f.limited, t.ID)
	}
	return true
}

// Limit returns the newest statement about the rate limit of a target.
func (f *Fleet) Limit(id string) TargetLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil {
		return TargetLimit{ID: id}
	}
	return TargetLimit{ID: id, StartedAt: t.StartedAt, Statement: t.limit.Newest()}
}

// Limits returns up to most of the rate limits in force, in random order.
func (f *Fleet) Limits(most int) []TargetLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []TargetLimit
	for id, t := range f.limited { // in random order
		if len(list) == most {
			break
		}
		list = append(list, TargetLimit{ID: id, StartedAt: t.StartedAt, Statement: t.limit.Newest()})
	}
	return list
}

// Deny keeps a target with a rate limit from being chosen for a time.
func (f *Fleet) Deny(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.byID[id]; t != nil {
		t.deniedUntil = until
	}
}

// DeniedUntil returns when the first of a service's targets may be chosen that are only
// kept back by their rate limits. It returns false if there is none.
func (f *Fleet) DeniedUntil(r Request, now time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	for _, t := range f.services[r.Service] {
		if r.allows(t) && t.isUsable(now) && t.isDenied(now) && (first.IsZero() || t.deniedUntil.Before(first)) {
			first = t.deniedUntil
		}
	}
	return first, !first.IsZero()
}

func (t *Target) isLimited() bool {
	_, isLimited := t.limit.Rate()
	return isLimited
}

func (t *Target) isDenied(now time.Time) bool { return now.Before(t.deniedUntil) }
