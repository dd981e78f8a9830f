package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

// row is what a host believes of another.
type row struct {
	host     port.Host
	revision uint64
	leaving  bool
	dead     bool
	suspect  bool
	version  int64
	// heard is the last sign of life that any host told of; direct is the
	// last one that came from the member itself.
	heard  time.Time
	direct time.Time
	// answered is when the member last answered this host.
	answered time.Time
	// watched is when this host began, or began again, to watch the member.
	watched time.Time
	// since is when the state was entered.
	since time.Time
	// position is the member's place on the ring.
	position uint64
}

func newRow(h port.Host, now time.Time) *row {
	return &row{host: h, heard: now, since: now, position: xxhash.Sum64String(h.ID)}
}

// silence returns how long the member has been silent, with grace for a
// watcher that has only begun to listen.
func (r *row) silence(now time.Time, grace time.Duration) time.Duration {
	return now.Sub(later(r.heard, r.watched.Add(-grace)))
}

func (r *row) state() port.MemberState {
	switch {
	case r.dead:
		return port.MemberDead
	case r.leaving:
		return port.MemberLeaving
	case r.suspect:
		return port.MemberSuspect
	}
	return port.MemberAlive
}

// member returns the row as it stands in the table.
func (r *row) member() port.Member {
	return port.Member{
		Host:          r.host,
		State:         r.state(),
		ConfigVersion: r.version,
		Since:         r.since,
		Revision:      r.revision,
	}
}

// rumour returns the row as it is told to others.
func (r *row) rumour() port.Member {
	m := r.member()
	m.Since = r.heard
	return m
}

// hash sums up what all hosts should agree on. Dead rows are left out, since
// each host forgets them at its own time.
func (r *row) hash() uint64 {
	if r.dead {
		return 0
	}
	h := r.position
	h = mix(h ^ r.host.Incarnation)
	h = mix(h ^ r.revision)
	if r.leaving {
		h = mix(h + 1)
	}
	return h
}

// mix spreads the bits of a number over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
