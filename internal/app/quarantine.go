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
	// knownFingerprints bounds the fingerprints that are remembered as known
	// to others.
	maxReceivedFingerprints = 4096
	// recordTimeout bounds the record of a finding in the log.
	recordTimeout = 3 * time.Second
)

// quarantine carries fingerprints of poisoned content between the scheduler,
// which finds them, the owner, which records them, and the membership, which
// spreads them.
type quarantine struct {
	scheduler atomic.Pointer[sched.Scheduler]
	owner     atomic.Pointer[owner.Service]
	members   atomic.Pointer[membership.Service]
	// known holds what others told, which need not be recorded again.
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

func (q *quarantine) addFingerprint(fingerprint uint64) { q.Quarantine(fingerprint) }

// found records a fingerprint that this host's scheduler has found.
func (q *quarantine) recordFinding(fingerprint uint64) {
	o := q.owner.Load()
	if o == nil || q.received.Contains(fingerprint) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	// The finding also spreads by heartbeats; a log outage only delays hosts
	// that start later.
	_ = o.Quarantine(ctx, fingerprint)
}
