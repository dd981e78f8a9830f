package port

import (
	"context"

	"yuccausher/internal/core/conversation"
)

// Finding is what a host knows of a turn.
type Finding int

// The findings.
const (
	// TurnUncertain says that the log could not be read.
	TurnUncertain Finding = iota
	TurnFound
	// TurnMissing says that the partition was read to its end and does not hold the
	// turn.
	TurnMissing
)

// String names the finding.
func (f Finding) String() string { return [...]string{"uncertain", "found", "missing"}[f] }

// Custody says what a host is to do with a turn that it is given.
type KeepMode int

// The kinds of custody.
const (
	// CustodyCopy turns are in the log or on their way there.
	KeepCopy KeepMode = iota
	// CustodyAppend turns are to be appended to the log at once.
	KeepAppend
)

// String names the kind of custody.
func (c KeepMode) String() string { return [...]string{"copy", "append"}[c] }

// TurnQuery asks for a turn.
type TurnQuery struct {
	Turn string
	// Part is the partition to look in.
	Part int
}

// Archivists are the other hosts, which know turns that this one does not.
type ConversationPeers interface {
	// Self returns this host's address, Hosts those of the others.
	Self() string
	Hosts() []string
	// IsKnown says whether the list of the others has been read.
	IsKnown() bool
	// Find asks a host for a turn and all before it.
	Find(ctx context.Context, host string, q TurnQuery) (Finding, conversation.Chain, error)
	// Keep gives a turn to a host. It returns false if the host can't do as asked.
	Keep(ctx context.Context, host string, t *conversation.Turn, c KeepMode) (bool, error)
}

// Archivist answers the requests of other hosts.
type ConversationServer interface {
	FindLocal(ctx context.Context, q TurnQuery) (Finding, conversation.Chain)
	KeepLocal(ctx context.Context, t *conversation.Turn, c KeepMode) bool
}
