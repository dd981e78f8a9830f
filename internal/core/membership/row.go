package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

// row is a host's view of one member.
type row struct {
	host          port.Host
	revision      uint64
	leaving       bool
	dead          bool
	suspect       bool
	configVersion int64
	// lastContact is the last contact of any host with the member, as far as
	// known; lastDirect is this host's own last contact.
	lastContact time.Time
	lastDirect  time.Time
	// lastReply is when the member last answered a request of this host.
	lastReply time.Time
	// watchedSince is when this host started or restarted watching the member.
	watchedSince time.Time
	// since is when the member entered its current state.
	since time.Time
	// position is the member's position on the ring.
	position uint64
}

func newRow(h port.Host, now time.Time) *row {
	return &row{host: h, lastContact: now, since: now, position: xxhash.Sum64String(h.ID)}
}

// silence returns the time since the last contact. For a watcher that has just
// started watching, it counts from the start of watching less grace.
func (r *row) silence(now time.Time, grace time.Duration) time.Duration {
	return now.Sub(later(r.lastContact, r.watchedSince.Add(-grace)))
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

// member returns the row in the form that Table reports.
func (r *row) member() port.Member {
	return port.Member{
		Host:          r.host,
		State:         r.state(),
		ConfigVersion: r.configVersion,
		Since:         r.since,
		Revision:      r.revision,
	}
}

// gossipUpdate returns the row in the form that is sent to other hosts. Its Since
// is the last contact.
func (r *row) gossipUpdate() port.Member {
	m := r.member()
	m.Since = r.lastContact
	return m
}

// hash hashes the fields on which all hosts should agree. It is zero for dead
// rows, since each host removes them at a different time.
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

// mix is the 64-bit finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
