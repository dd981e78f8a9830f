package sched

import (
	"sync"

	"yuccausher/internal/core/poison"
)

// quarantine wraps the registry of poisoned content for concurrent use and calls the
// hooks on new crashes and quarantines. Calls with fingerprint zero have no content and
// are not tracked.
type quarantine struct {
	onQuarantine func(uint64)
	onCrash      func(poison.Mark)

	mu       sync.Mutex
	registry *poison.Registry
}

func newQuarantine(onQuarantine func(uint64), onCrash func(poison.Mark)) *quarantine {
	return &quarantine{onQuarantine: onQuarantine, onCrash: onCrash, registry: poison.NewRegistry(poison.DefaultCrashLimit)}
}

func (q *quarantine) verdict(fingerprint uint64) poison.Verdict {
	if fingerprint == 0 {
		return poison.Clean
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Verdict(fingerprint)
}

func (q *quarantine) isQuarantined(fingerprint uint64) bool {
	return q.verdict(fingerprint) == poison.Quarantined
}

func (q *quarantine) begin(fingerprint uint64, target string) bool {
	if fingerprint == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Begin(fingerprint, target)
}

func (q *quarantine) end(fingerprint uint64, target string, complete bool) {
	if fingerprint == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.registry.End(fingerprint, target, complete)
}

// recordCrash records a mark of this host and calls the hooks before it returns.
func (q *quarantine) recordCrash(m poison.Mark) {
	if m.Fingerprint == 0 {
		return
	}
	q.mu.Lock()
	found := q.registry.RecordCrash(m)
	q.mu.Unlock()
	if q.onCrash != nil {
		q.onCrash(m)
	}
	if found && q.onQuarantine != nil {
		q.onQuarantine(m.Fingerprint)
	}
}

// Quarantined returns the quarantined fingerprints, for peers.
func (s *Scheduler) Quarantined() []uint64 {
	s.quarantine.mu.Lock()
	defer s.quarantine.mu.Unlock()
	return s.quarantine.registry.Quarantined()
}

// Quarantine adds fingerprints that another host or the log reports as quarantined.
// OnQuarantine is called for those that are new to this host.
func (s *Scheduler) Quarantine(fingerprints ...uint64) {
	for _, f := range fingerprints {
		s.quarantine.mu.Lock()
		added := s.quarantine.registry.Quarantine(f)
		s.quarantine.mu.Unlock()
		if added && s.quarantine.onQuarantine != nil {
			s.quarantine.onQuarantine(f)
		}
	}
}

// Marks returns the marks of suspect content, for peers.
func (s *Scheduler) Marks() []poison.Mark {
	s.quarantine.mu.Lock()
	defer s.quarantine.mu.Unlock()
	return s.quarantine.registry.Marks()
}

// AddMarks adds marks that another host or the log reports. Content that reaches
// poison.DefaultCrashLimit marks, at present two, is quarantined.
func (s *Scheduler) AddMarks(marks ...poison.Mark) {
	for _, m := range marks {
		s.quarantine.mu.Lock()
		found := s.quarantine.registry.RecordCrash(m)
		s.quarantine.mu.Unlock()
		if found && s.quarantine.onQuarantine != nil {
			s.quarantine.onQuarantine(m.Fingerprint)
		}
	}
}
