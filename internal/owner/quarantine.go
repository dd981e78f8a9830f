package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/gen/record"
)

// quarantines remembers when the log last got each poisoned fingerprint, so
// that it is written again before it is trimmed.
type quarantines struct {
	mu   sync.Mutex
	seen map[uint64]time.Time
}

func (q *quarantines) note(fingerprint uint64, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen[fingerprint] = at
}

// due returns the fingerprints that were last written before a time.
func (q *quarantines) due(before time.Time) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var old []uint64
	for f, at := range q.seen {
		if at.Before(before) {
			old = append(old, f)
		}
	}
	return old
}

func (s *Service) quarantined(fingerprint uint64, at time.Time) {
	s.quarantines.note(fingerprint, at)
	if s.p.OnQuarantine != nil {
		s.p.OnQuarantine(fingerprint)
	}
}

func quarantineRecord(fingerprint uint64) *record.Record {
	return &record.Record{
		Body: &record.Record_Quarantine{Quarantine: &record.Quarantine{Fingerprint: fingerprint}},
	}
}

// Quarantine records a fingerprint as poisoned, for all hosts and for those
// that start later. It returns once the record was seen.
func (s *Service) Quarantine(ctx context.Context, fingerprint uint64) error {
	l := s.layout.Load()
	if l == nil {
		return notReady()
	}
	return await(ctx, l.streams[0].writer.submit(quarantineRecord(fingerprint)))
}

// restateQuarantines writes old fingerprints again. The owner of the first
// partition does it.
func (s *Service) restateQuarantines(now time.Time) {
	first := s.layout.Load().parts[0]
	first.mu.Lock()
	held := first.held()
	first.mu.Unlock()
	if !held {
		return
	}
	for _, f := range s.quarantines.due(now.Add(-s.p.Settings.Retention / checkpointShare)) {
		s.quarantines.note(f, now)
		first.stream.writer.submit(quarantineRecord(f))
	}
}
