package config

import "time"

// CopyPlan decides when a host publishes the version in force again.
type CopyPlan struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Settle is how long a version may stand without a sealed record.
	Settle time.Duration
	// Stagger is the extra delay per rank among the hosts.
	Stagger time.Duration
}

// Due says whether the host of a rank, the first being 0, should publish the
// version that r holds again. Copies by several hosts are harmless.
func (p CopyPlan) Due(now time.Time, r View, rank int) bool {
	if !r.Certain || r.Version == 0 {
		return false
	}
	wait := p.Settle
	if r.InSequence {
		wait = p.Retention / 2
	}
	wait += min(time.Duration(rank)*p.Stagger, p.Retention/4)
	return now.Sub(r.CopiedAt) >= wait
}
