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
	knownFingerprints = 4096
	// recordTimeout bounds the record of a finding in the log.
	recordTimeout = 3 * time.Second
)

// quarantine carries fingerprints of poisoned content between the scheduler,
// which finds them, the owner, which records them, and the membership, which
// spreads them.
type quarantine struct {
	registry atomic.Pointer[sched.Scheduler]
	recorder atomic.Pointer[owner.Service]
	members  atomic.Pointer[membership.Service]
	// known holds what others told, which need not be recorded again.
	known *lru.Cache[uint64, struct{}]
}

var _ membership.Quarantine = (*quarantine)(nil)

func newQuarantine() (*quarantine, error) {
	known, err := lru.New[uint64, struct{}](knownFingerprints)
	return &quarantine{known: known}, err
}

// Quarantined implements membership.Quarantine.
func (q *quarantine) Quarantined() []uint64 {
	s := q.registry.Load()
	if s == nil {
		return nil
	}
	return s.Quarantined()
}

// Quarantine implements membership.Quarantine.
func (q *quarantine) Quarantine(fingerprints ...uint64) {
	s := q.registry.Load()
	if s == nil {
		return
	}
	for _, f := range fingerprints {
		q.known.Add(f, struct{}{})
	}
	s.Quarantine(fingerprints...)
}

func (q *quarantine) learnOne(fingerprint uint64) { q.Quarantine(fingerprint) }

// found records a fingerprint that this host's scheduler has found.
func (q *quarantine) found(fingerprint uint64) {
	o := q.recorder.Load()
	if o == nil || q.known.Contains(fingerprint) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	// The finding also spreads by heartbeats; a log outage only delays hosts
	// that start later.
	_ = o.Quarantine(ctx, fingerprint)
}
