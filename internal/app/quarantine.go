package app

import (
	"context"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yuccausher/internal/membership"
	"yuccausher/internal/owner"
	"yuccausher/internal/sched"
)

const (
	// maxReceivedFingerprints is the maximum number of fingerprints that are
	// remembered as received from other hosts or the log.
	maxReceivedFingerprints = 4096
	// recordTimeout bounds the append of a fingerprint to the log.
	recordTimeout = 3 * time.Second
)

// quarantine passes fingerprints of poisoned content between the scheduler, which
// finds them, the owner service, which records them in the log, and the membership
// service, which sends them to other hosts.
type quarantine struct {
	scheduler atomic.Pointer[sched.Scheduler]
	owner     atomic.Pointer[owner.Service]
	members   atomic.Pointer[membership.Service]
	// received holds the fingerprints from other hosts or the log, which need not be
	// recorded again.
	received *lru.Cache[uint64, struct{}]
}

var _ membership.Quarantine = (*quarantine)(nil)

func newQuarantine() (*quarantine, error) {
	known, err := lru.New[uint64, struct{}](maxReceivedFingerprints)
	return &quarantine{received: known}, err
}

// Quarantined implements membership.Quarantine.
func (q *quarantine) Quarantined() []uint64 {
	s := q.scheduler.Load()
	if s == nil {
		return nil
	}
	return s.Quarantined()
}

// Quarantine implements membership.Quarantine.
func (q *quarantine) Quarantine(fingerprints ...uint64) {
	s := q.scheduler.Load()
	if s == nil {
		return
	}
	for _, f := range fingerprints {
		q.received.Add(f, struct{}{})
	}
	s.Quarantine(fingerprints...)
}

// addFingerprint adds one fingerprint that was read from the log.
func (q *quarantine) addFingerprint(fingerprint uint64) { q.Quarantine(fingerprint) }

// recordFinding records a fingerprint in the log unless it was received.
func (q *quarantine) recordFinding(fingerprint uint64) {
	o := q.owner.Load()
	if o == nil || q.received.Contains(fingerprint) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	// Heartbeats also carry the fingerprint. A failed append affects only hosts
	// that start later.
	_ = o.Quarantine(ctx, fingerprint)
}
