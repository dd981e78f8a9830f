package port

import (
	"context"
	"time"
)

// Host is one process of the system.
type Host struct {
	// ID names the host and is its peer address, "ip:port".
	ID         string
	DataCentre string
	// Incarnation grows with each start under the same ID.
	Incarnation uint64
	// ClientAddress is where callers reach the host, "ip:port".
	ClientAddress string
}

// ListedHost is one entry of the platform's host list, which lags.
type ListedHost struct {
	ID         string
	DataCentre string
	Leaving    bool
}

// ListedTarget is one target as the platform lists it.
type ListedTarget struct {
	Name    string
	Leaving bool
}

// HostList is the platform's list of hosts and targets.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
	Targets(ctx context.Context) ([]ListedTarget, error)
}

// MemberState is what a host believes of another.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one row of a host's membership table.
type Member struct {
	Host
	State MemberState
	// ConfigVersion is the version the member last said it runs.
	ConfigVersion int64
	// Since is when the state was entered, on the observer's clock. In a
	// rumour it is when the sender last knew the member alive.
	Since time.Time
	// Revision grows each time a wrong belief about the same incarnation is
	// refuted.
	Revision uint64
}

// Members is a host's view of the others. Reads are lock-free.
type Members interface {
	Self() Host
	// Table returns all known members, self included, sorted by ID. The
	// slice is shared and must not be changed.
	Table() []Member
	// Changed is closed when the table changes next.
	Changed() <-chan struct{}
}

// Gossip is a heartbeat with the rumours that ride on it.
type Gossip struct {
	From          Host
	Leaving       bool
	ConfigVersion int64
	Rumours       []Member
	// Digest sums up the sender's table of live members. Hosts whose digests
	// differ send each other rows.
	Digest uint64
	// Quarantined lists fingerprints of poisoned content.
	Quarantined []uint64
	// Marks lists the newest crashes with content in flight.
	Marks []CrashMark
}

// CrashMark says that a target crashed while content was in flight on it.
type CrashMark struct {
	Fingerprint uint64
	Target      string
	// At is when the crash was seen, in nanoseconds since 1970.
	At int64
}

// Peers reaches other hosts. Errors of its transport are *PeerError.
type Peers interface {
	// Programs returns a client for the programs that a host owns.
	Programs(host string) Programs
	// Gossip exchanges heartbeats and rumours.
	Gossip(ctx context.Context, host string, g Gossip) (Gossip, error)
	// GossipVia asks via to reach host, to tell a dead host from a cut one.
	GossipVia(ctx context.Context, via, host string) (reached bool, err error)
	// Config returns the newest configuration document that a host has.
	Config(ctx context.Context, host string) (version int64, document []byte, err error)
	// RelayAppend appends through another host, which batches.
	RelayAppend(ctx context.Context, host, stream string, records [][]byte) (int64, error)
}

// PeerError is a failure to reach another host. Sent tells whether any byte
// of the request may have left.
type PeerError struct {
	Host  string
	Sent  bool
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	s := "peer " + e.Host + " failed"
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }
