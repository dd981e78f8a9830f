package spending

import (
	"context"
	"maps"
	"sync"
	"time"

	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// noteRetryInterval is how often notes that hosts did not accept are sent again.
	noteRetryInterval = 400 * time.Millisecond
	// missedNoteTTL is how long they are sent again: until the record of a host that has
	// ended expires.
	missedNoteTTL = 25 * time.Second
	// maxMissedNotes limits the notes that are kept for one host.
	maxMissedNotes = 1024
)

// missedNotes holds the notes on claims that hosts did not accept. A host that was cut off
// for a moment gets them when it answers again: without them it might lend of a budget
// that is claimed.
type missedNotes struct {
	mu sync.Mutex
	// byHost holds the latest note on each program.
	byHost map[string]map[string]missedNote
}

// missedNote is a note and when it was first sent.
type missedNote struct {
	note port.BudgetNote
	at   time.Time
}

// add keeps a note for a host.
func (m *missedNotes) add(host string, n port.BudgetNote, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byHost == nil {
		m.byHost = make(map[string]map[string]missedNote)
	}
	notes := m.byHost[host]
	if notes == nil {
		notes = make(map[string]missedNote)
		m.byHost[host] = notes
	}
	if old, ok := notes[n.Program]; ok && old.note.Offset >= n.Offset || !ok && len(notes) >= maxMissedNotes {
		return
	}
	notes[n.Program] = missedNote{note: n, at: now}
}

// take removes and returns the notes of each host, without expired ones.
func (m *missedNotes) take(now time.Time) map[string]map[string]missedNote {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.byHost
	m.byHost = nil
	for host, notes := range taken {
		maps.DeleteFunc(notes, func(_ string, n missedNote) bool { return now.Sub(n.at) > missedNoteTTL })
		if len(notes) == 0 {
			delete(taken, host)
		}
	}
	return taken
}

// runMissedNotes sends missed notes again at intervals until ctx ends.
func (s *Service) runMissedNotes(ctx context.Context) {
	for ctx.Err() == nil {
		tail.Sleep(ctx, noteRetryInterval)
		var sending sync.WaitGroup
		for host, notes := range s.missed.take(time.Now()) {
			sending.Go(func() { s.resend(ctx, host, notes) })
		}
		sending.Wait()
	}
}

// resend sends notes to a host until it does not accept one, and keeps the rest.
func (s *Service) resend(ctx context.Context, host string, notes map[string]missedNote) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	isDown := false
	for _, n := range notes {
		if !isDown {
			if _, err := s.peers.Note(ctx, host, n.note); err == nil {
				continue
			}
		}
		isDown = true
		s.missed.add(host, n.note, n.at)
	}
}
