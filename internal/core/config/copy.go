package config

import "time"

// CopyPlan decides when a host publishes another copy of the version in force.
type CopyPlan struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Settle is the maximum time that a version remains without an in-sequence
	// record.
	Settle time.Duration
	// Stagger is the additional delay per rank of a host, so that usually only
	// one host publishes a copy.
	Stagger time.Duration
}

// Due reports whether the host with a zero-based rank should publish a copy of
// the version of view v. Copies by several hosts are harmless.
func (p CopyPlan) Due(now time.Time, v View, rank int) bool {
	if !v.Certain || v.Version == 0 {
		return false
	}
	wait := p.Settle
	if v.InSequence {
		wait = p.Retention / 2
	}
	wait += min(time.Duration(rank)*p.Stagger, p.Retention/4)
	return now.Sub(v.CopiedAt) >= wait
}
