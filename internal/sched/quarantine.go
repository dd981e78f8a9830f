package sched

import (
	"sync"

	"yuccausher/internal/core/poison"
)

// quarantine makes the registry of poisoned content safe for concurrent use
// and tells others of its findings. Fingerprint zero means no content.
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

func (q *quarantine) end(fingerprint uint64, target string, whole bool) {
	if fingerprint == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.registry.End(fingerprint, target, whole)
}

// crash records an own mark and tells of it before it returns.
func (q *quarantine) crash(m poison.Mark) {
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

// Quarantined returns the fingerprints of poisoned content, for peers.
func (s *Scheduler) Quarantined() []uint64 {
	s.poison.mu.Lock()
	defer s.poison.mu.Unlock()
	return s.poison.registry.Quarantined()
}

// Quarantine takes over fingerprints that another host, or the log, knows to
// be poisoned. OnQuarantine is called for those that are new here.
func (s *Scheduler) Quarantine(fingerprints ...uint64) {
	for _, f := range fingerprints {
		s.poison.mu.Lock()
		added := s.poison.registry.Quarantine(f)
		s.poison.mu.Unlock()
		if added && s.poison.onQuarantine != nil {
			s.poison.onQuarantine(f)
		}
	}
}

// Marks returns the marks of suspect content, for peers.
func (s *Scheduler) Marks() []poison.Mark {
	s.poison.mu.Lock()
	defer s.poison.mu.Unlock()
	return s.poison.registry.Marks()
}

// Mark takes over marks that another host, or the log, knows of. A second
// mark on a content quarantines it.
func (s *Scheduler) AddMarks(marks ...poison.Mark) {
	for _, m := range marks {
		s.poison.mu.Lock()
		found := s.poison.registry.RecordCrash(m)
		s.poison.mu.Unlock()
		if found && s.poison.onQuarantine != nil {
			s.poison.onQuarantine(m.Fingerprint)
		}
	}
}
