package port

import (
	"context"
	"time"
)

// Host is one process of the system.
type Host struct {
	// ID identifies the host and is its peer address, "ip:port".
	ID         string
	DataCentre string
	// Incarnation increases with each start under the same ID.
	Incarnation uint64
	// ClientAddress is the address for callers, "ip:port".
	ClientAddress string
}

// ListedHost is one entry of the platform's host list, which may be out of date.
type ListedHost struct {
	ID         string
	DataCentre string
	Leaving    bool
}

// ListedTarget is one entry of the platform's target list.
type ListedTarget struct {
	Name    string
	Leaving bool
}

// HostList is the platform's list of hosts and targets.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
	Targets(ctx context.Context) ([]ListedTarget, error)
}

// MemberState is the state of a member as one host sees it.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one entry of a host's membership table.
type Member struct {
	Host
	State MemberState
	// ConfigVersion is the configuration version that the member last reported.
	ConfigVersion int64
	// Since is when the member entered its state, on the observer's clock. In a
	// rumour it is when the sender last knew the member to be alive.
	Since time.Time
	// Revision increases each time a false suspicion or death of the same
	// incarnation is refuted.
	Revision uint64
}

// Members is a host's view of the membership. Reads are lock-free.
type Members interface {
	Self() Host
	// Table returns all known members, self included, sorted by ID. The
	// slice is shared and must not be changed.
	Table() []Member
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}

// Gossip is a heartbeat message that also carries rumours about other members.
type Gossip struct {
	From          Host
	Leaving       bool
	ConfigVersion int64
	Rumours       []Member
	// Digest is a hash of the sender's table of live members. Hosts whose digests
	// differ exchange table entries.
	Digest uint64
	// Quarantined lists the fingerprints of quarantined content.
	Quarantined []uint64
	// Marks lists the most recent crashes with content in flight.
	Marks []CrashMark
}

// CrashMark records that a target crashed while content was in flight on it.
type CrashMark struct {
	Fingerprint uint64
	Target      string
	// At is when the crash was observed, in nanoseconds since 1970.
	At int64
}

// Peers is a client of other hosts. Transport errors are *PeerError.
type Peers interface {
	// Programs returns a client for the programs that a host owns.
	Programs(host string) Programs
	// Gossip exchanges heartbeats and rumours.
	Gossip(ctx context.Context, host string, g Gossip) (Gossip, error)
	// GossipVia asks the host via to probe host, to distinguish a dead host from
	// a network partition between it and this one.
	GossipVia(ctx context.Context, via, host string) (reached bool, err error)
	// Config returns the newest configuration that a host has.
	Config(ctx context.Context, host string) (version int64, document []byte, err error)
	// RelayAppend appends records through another host, which batches appends.
	// It returns the offset of the first record.
	RelayAppend(ctx context.Context, host, stream string, records [][]byte) (int64, error)
}

// PeerError is a failure to reach another host.
type PeerError struct {
	Host string
	// Sent is true if any byte of the request may have been sent.
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
