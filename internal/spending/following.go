package spending

import "time"

// maxGap is the longest gap between marks after which programs are not in doubt. All hosts start again
// and read the log in it if they fall together.
const maxGap = 2500 * time.Millisecond

// mark says that a host has followed a partition since a time. The zero mark says nothing.
type mark struct{ at, since time.Time }

// following is what a host knows of the loans of a partition. The ledger's mu guards it.
type following struct {
	// retention is how long a program may go on after it was last seen.
	retention time.Duration
	// startedAt is when the process started.
	startedAt time.Time
	// since is when the host began to be told of loans.
	since time.Time
	// isActive says that the host has read the partition to its end since then.
	isActive bool
	// coveredUntil is when some host has last followed the partition, according to marks.
	coveredUntil time.Time
	// gapFrom and doubtUntil are set after a gap: when it began, and until when programs are in doubt
	// that may have run in it. Of several gaps, gapFrom is that of the first one.
	gapFrom, doubtUntil time.Time
}

// observe evaluates a mark in the log.
func (f *following) observe(m mark) {
	if m.at.IsZero() {
		return
	}
	f.bridge(m)
	if !f.isActive && f.hasGap(m.since) {
		f.openGap(m.at)
	}
	if m.at.After(f.coveredUntil) {
		f.coveredUntil = m.at
	}
}

// hasGap reports whether no host has followed the partition for longer than maxGap before a time. A log
// without marks was written by an earlier build, and says nothing about it.
func (f *following) hasGap(before time.Time) bool {
	return !f.coveredUntil.IsZero() && before.Sub(f.coveredUntil) > maxGap
}

// openGap notes that no host has followed the partition until a time.
func (f *following) openGap(until time.Time) {
	if !until.Before(f.doubtUntil) {
		f.gapFrom = f.coveredUntil
	}
	f.doubtUntil = until.Add(f.retention)
}

// bridge ends the doubt if a host has followed the partition from before the gap until after it. A mark from
// before the gap may take effect after it. It reports whether no doubt is left.
func (f *following) bridge(m mark) bool {
	gapUntil := f.doubtUntil.Add(-f.retention)
	if !f.gapFrom.IsZero() && (m.since.Sub(f.gapFrom) > maxGap || m.at.Before(gapUntil)) {
		return false
	}
	f.gapFrom, f.doubtUntil = time.Time{}, time.Time{}
	return true
}

// start begins to follow a partition that has been read to its end.
func (f *following) start() {
	if f.hasGap(f.since) {
		f.openGap(f.since)
	}
	f.isActive = true
}

// stop ends the following, since the host may not have been told of loans.
func (f *following) stop(now time.Time) { f.isActive, f.since = false, now }

// adopt takes over the loans that another host knows, which has followed the partition since m.since until
// now. It reports whether no doubt is left.
func (f *following) adopt(m mark) bool {
	if m.since.Before(f.since) {
		f.since = m.since
	}
	return f.bridge(m)
}

// now returns the time by the clock of the process's start. Steps of the clock since then don't hide a gap.
func (f *following) now() time.Time { return f.startedAt.Add(time.Since(f.startedAt)) }

// isInDoubt reports whether loans may have been forgotten.
func (f *following) isInDoubt(now time.Time) bool { return now.Before(f.doubtUntil) }
