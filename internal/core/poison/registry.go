// Package poison detects content that crashes the targets that run it. When a target
// crashes, each request in flight on it adds a mark to the fingerprint of its
// content. Content is quarantined when its marks reach the registry's limit. Content
// with fewer marks is suspect: it runs on one target at a time, and a complete
// answer clears it.
package poison

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

// DefaultCrashLimit is the number of crashes that quarantine content. A single crash
// may have another cause, but two in a row seldom do.
const DefaultCrashLimit = 2

// maxFingerprints is the maximum number of suspect fingerprints, and that of
// quarantined ones. The least recently used are evicted first.
const maxFingerprints = 8192

// maxMarks limits the marks that are kept of quarantined content.
const maxMarks = 64

// Verdict determines how content may run.
type Verdict int

// The verdicts on a fingerprint.
const (
	// Clean content has no marks. It may run on several targets.
	Clean Verdict = iota
	// Suspect content may run on one target at a time.
	Suspect
	// Quarantined content must not run.
	Quarantined
)

// Mark is a crash of a target while content was in flight on it.
type Mark struct {
	Fingerprint uint64
	// Kind is the kind of feature that the fingerprint is of.
	Kind   Kind
	Target string
	// Run identifies the run of the target; zero if it is not known.
	Run int64
	// At is when the crash was detected, in nanoseconds since 1970. Where the run
	// is not known, it identifies a mark that is received again from another host.
	At int64
}

// CrashKey returns the part of the mark that is the same for all marks of one crash
// on one content, whichever host detected it.
func (m Mark) CrashKey() Mark {
	if m.Run != 0 {
		m.At = 0
	}
	return m
}

// Registry holds the marks and the requests in flight. It is not safe for concurrent
// use.
type Registry struct {
	// crashLimit is the number of marks that quarantine content.
	crashLimit int
	suspects   *lru.Cache[uint64, []Mark]
	// quarantined holds the marks of quarantined content, none if the content was
	// quarantined without them.
	quarantined *lru.Cache[uint64, []Mark]
	inFlight    inFlight
}

// NewRegistry returns an empty registry that quarantines content with crashLimit
// marks.
func NewRegistry(crashLimit int) *Registry {
	suspects, _ := lru.New[uint64, []Mark](maxFingerprints)
	quarantined, _ := lru.New[uint64, []Mark](maxFingerprints)
	return &Registry{crashLimit: crashLimit, suspects: suspects, quarantined: quarantined, inFlight: make(inFlight)}
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

// Begin admits a request to a target and counts it as in flight. It returns false if
// the content is quarantined, if it is suspect and already in flight, or if it is in
// flight on as many other targets as the crash limit.
func (r *Registry) Begin(fingerprint uint64, target string) bool {
	switch r.Verdict(fingerprint) {
	case Quarantined:
		return false
	case Suspect:
		if len(r.inFlight[fingerprint]) > 0 {
			return false
		}
	case Clean:
		if r.inFlight.countOthers(fingerprint, target) >= r.crashLimit {
			return false
		}
	}
	r.inFlight.add(fingerprint, target)
	return true
}

// End removes a request from those in flight. complete is set if the target answered
// it completely, which drops the marks of suspect content.
func (r *Registry) End(fingerprint uint64, target string, complete bool) {
	r.inFlight.remove(fingerprint, target)
	if complete {
		r.Clear(fingerprint)
	}
}

// Clear drops the marks of suspect content and returns them.
func (r *Registry) Clear(fingerprint uint64) []Mark {
	marks, _ := r.suspects.Peek(fingerprint)
	r.suspects.Remove(fingerprint)
	return marks
}

// Remove drops the marks of content for which isRemoved returns true. Content that is
// left with fewer marks than the crash limit is no longer quarantined. It returns the
// number of marks dropped.
func (r *Registry) Remove(fingerprint uint64, isRemoved func(Mark) bool) int {
	marks, isQuarantined := r.quarantined.Peek(fingerprint)
	if !isQuarantined {
		marks, _ = r.suspects.Peek(fingerprint)
	}
	kept := slices.DeleteFunc(slices.Clone(marks), isRemoved)
	removed := len(marks) - len(kept)
	if removed == 0 {
		return 0
	}
	r.suspects.Remove(fingerprint)
	r.quarantined.Remove(fingerprint)
	switch {
	case len(kept) >= r.crashLimit:
		r.quarantined.Add(fingerprint, kept)
	case len(kept) > 0:
		r.suspects.Add(fingerprint, kept)
	}
	return removed
}

// RecordCrash adds a mark of this or another host. It returns true if the mark
// quarantines the content.
func (r *Registry) RecordCrash(m Mark) bool {
	marks, isQuarantined := r.quarantined.Get(m.Fingerprint)
	if !isQuarantined {
		marks, _ = r.suspects.Get(m.Fingerprint)
	}
	if slices.ContainsFunc(marks, func(known Mark) bool { return known.CrashKey() == m.CrashKey() }) {
		return false
	}
	marks = append(slices.Clip(marks), m)
	if !isQuarantined && len(marks) < r.crashLimit {
		r.suspects.Add(m.Fingerprint, marks)
		return false
	}
	r.suspects.Remove(m.Fingerprint)
	r.quarantined.Add(m.Fingerprint, marks[:min(len(marks), maxMarks)])
	return !isQuarantined
}

// Quarantine puts content in quarantine. It returns false if it already was.
func (r *Registry) Quarantine(fingerprint uint64) bool {
	r.suspects.Remove(fingerprint)
	if r.quarantined.Contains(fingerprint) {
		return false
	}
	r.quarantined.Add(fingerprint, nil)
	return true
}

// Len returns the numbers of suspect and of quarantined fingerprints.
func (r *Registry) Len() (suspects, quarantined int) {
	return r.suspects.Len(), r.quarantined.Len()
}

// Quarantined returns the quarantined fingerprints, the least recently used first.
func (r *Registry) Quarantined() []uint64 { return r.quarantined.Keys() }

// Marks returns the marks of all suspect content.
func (r *Registry) Marks() []Mark {
	var all []Mark
	for _, marks := range r.suspects.Values() {
		all = append(all, marks...)
	}
	return all
}
