// Package poison finds content that crashes the targets that run it. Every
// request in flight on a target that crashes leaves a mark on its content's
// fingerprint; content with as many marks as the registry allows is quarantined.
// Content with fewer is suspect and runs on one target at a time, and a whole
// answer clears it.
package poison

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

// DefaultCrashes is how many targets a content may crash: one crash may be the
// target's own, two in a row seldom are.
const DefaultCrashLimit = 2

// capacity is how many fingerprints are remembered, suspects and quarantined
// ones each. The least recently used are forgotten first.
const capacity = 8192

// Verdict says how content may run.
type Verdict int

// The verdicts on a fingerprint.
const (
	// Clean content runs freely.
	Clean Verdict = iota
	// Suspect content may run on one target at a time.
	Suspect
	// Quarantined content must not run.
	Quarantined
)

// Mark is a crash of a target while content was in flight on it.
type Mark struct {
	Fingerprint uint64
	Target      string
	// Run tells runs of the target apart; zero if it is not known.
	Run int64
	// At is when the crash was seen, in nanoseconds since 1970. A mark that
	// comes back from another host is known by it where the run is not known.
	At int64
}

// Crash returns what all marks of one crash on one content have in common, whichever
// hosts have seen it.
func (m Mark) CrashKey() Mark {
	if m.Run != 0 {
		m.At = 0
	}
	return m
}

// Registry holds the marks. It is not safe for concurrent use.
type Registry struct {
	// crashes is how many marks quarantine a content.
	crashes     int
	suspects    *lru.Cache[uint64, []Mark]
	quarantined *lru.Cache[uint64, struct{}]
	running     flights
}

// NewRegistry returns an empty registry that quarantines content with a number
// of marks.
func NewRegistry(crashes int) *Registry {
	suspects, _ := lru.New[uint64, []Mark](capacity)
	quarantined, _ := lru.New[uint64, struct{}](capacity)
	return &Registry{crashes: crashes, suspects: suspects, quarantined: quarantined, running: make(flights)}
}

// Verdict returns how content may run.
func (r *Registry) Verdict(fingerprint uint64) Verdict {
	if _, ok := r.quarantined.Get(fingerprint); ok {
		return Quarantined
	}
	if _, ok := r.suspects.Get(fingerprint); ok {
		return Suspect
	}
	return Clean
}

// Begin admits one request in flight on a target. It returns false if the
// content is quarantined, if it is suspect and already in flight, and if it is
// in flight on as many other targets as it may crash.
func (r *Registry) Begin(fingerprint uint64, target string) bool {
	switch r.Verdict(fingerprint) {
	case Quarantined:
		return false
	case Suspect:
		if len(r.running[fingerprint]) > 0 {
			return false
		}
	case Clean:
		if r.running.others(fingerprint, target) >= r.crashes {
			return false
		}
	}
	r.running.add(fingerprint, target)
	return true
}

// End takes a request out of flight. whole says that the target answered it
// in full, which clears the content of suspicion.
func (r *Registry) End(fingerprint uint64, target string, whole bool) {
	r.running.remove(fingerprint, target)
	if whole {
		r.Clear(fingerprint)
	}
}

// Clear drops the marks of suspect content and returns how many there were.
func (r *Registry) Clear(fingerprint uint64) int {
	marks, _ := r.suspects.Peek(fingerprint)
	r.suspects.Remove(fingerprint)
	return len(marks)
}

// Crash records a mark, own or another host's, and returns true if it
// quarantines the content.
func (r *Registry) RecordCrash(m Mark) bool {
	if _, ok := r.quarantined.Get(m.Fingerprint); ok {
		return false
	}
	marks, _ := r.suspects.Get(m.Fingerprint)
	if slices.ContainsFunc(marks, func(known Mark) bool { return known.CrashKey() == m.CrashKey() }) {
		return false
	}
	marks = append(slices.Clip(marks), m)
	if len(marks) < r.crashes {
		r.suspects.Add(m.Fingerprint, marks)
		return false
	}
	r.Quarantine(m.Fingerprint)
	return true
}

// Quarantine takes over another host's finding and returns true if it is new.
func (r *Registry) Quarantine(fingerprint uint64) bool {
	r.suspects.Remove(fingerprint)
	if r.quarantined.Contains(fingerprint) {
		return false
	}
	r.quarantined.Add(fingerprint, struct{}{})
	return true
}

// Len returns how many contents are suspect and in quarantine.
func (r *Registry) Len() (suspects, quarantined int) {
	return r.suspects.Len(), r.quarantined.Len()
}

// Quarantined returns the fingerprints in quarantine, oldest first.
func (r *Registry) Quarantined() []uint64 { return r.quarantined.Keys() }

// Marks returns the marks of suspect content.
func (r *Registry) Marks() []Mark {
	var all []Mark
	for _, marks := range r.suspects.Values() {
		all = append(all, marks...)
	}
	return all
}
