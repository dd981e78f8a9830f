package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/gen/record"
)

// quarantines records when each poisoned fingerprint was last written to the log,
// so that it can be written again before it is trimmed.
type quarantines struct {
	mu          sync.Mutex
	lastWritten map[uint64]time.Time
}

func (q *quarantines) note(fingerprint uint64, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastWritten[fingerprint] = at
}

// due returns the fingerprints that were last written before the given time.
func (q *quarantines) due(before time.Time) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var old []uint64
	for f, at := range q.lastWritten {
		if at.Before(before) {
			old = append(old, f)
		}
	}
	return old
}

func (s *Service) applyQuarantine(fingerprint uint64, at time.Time) {
	s.quarantines.note(fingerprint, at)
	if s.params.OnQuarantine != nil {
		s.params.OnQuarantine(fingerprint)
	}
}

func quarantineRecord(fingerprint uint64) *record.Record {
	return &record.Record{
		Body: &record.Record_Quarantine{Quarantine: &record.Quarantine{Fingerprint: fingerprint}},
	}
}

// Quarantine records a fingerprint as poisoned, for all hosts including those that
// start later. It returns once the record is confirmed.
func (s *Service) Quarantine(ctx context.Context, fingerprint uint64) error {
	l := s.layout.Load()
	if l == nil {
		return notReady()
	}
	return await(ctx, l.streams[0].writer.submit(quarantineRecord(fingerprint)))
}

// restateQuarantines writes fingerprints again that would be trimmed otherwise.
// Only the owner of the first partition does so.
func (s *Service) restateQuarantines(now time.Time) {
	first := s.layout.Load().partitions[0]
	first.mu.Lock()
	held := first.held()
	first.mu.Unlock()
	if !held {
		return
	}
	for _, f := range s.quarantines.due(now.Add(-s.params.Settings.Retention / checkpointsPerRetention)) {
		s.quarantines.note(f, now)
		first.stream.writer.submit(quarantineRecord(f))
	}
}
