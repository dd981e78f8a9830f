package port

import (
	"context"

	"yuccausher/internal/core/conversation"
)

// Finding is the result of the lookup of a turn at a host.
type Finding int

// The results of a lookup.
const (
	// TurnUncertain means that the host can't tell, for example because the log could
	// not be read.
	TurnUncertain Finding = iota
	// TurnFound means that the host returned the turn and the turns before it.
	TurnFound
	// TurnMissing means that the partition was read to its end and does not contain the
	// turn.
	TurnMissing
)

// String returns the name of the result.
func (f Finding) String() string { return [...]string{"uncertain", "found", "missing"}[f] }

// KeepMode says what a host does with a turn that another host sends it.
type KeepMode int

// The modes.
const (
	// KeepCopy turns are cached only: they are in the log or are being appended to it.
	KeepCopy KeepMode = iota
	// KeepAppend turns are appended to the log before the host replies.
	KeepAppend
)

// String returns the name of the mode.
func (m KeepMode) String() string { return [...]string{"copy", "append"}[m] }

// TurnQuery identifies a turn to look up.
type TurnQuery struct {
	Turn string
	// Part is the partition to search.
	Part int
}

// AttemptEvents are events that an attempt of a caller has got of a stream.
type AttemptEvents struct {
	conversation.Attempt
	// ResumedAfter is the ID of the event after which the attempt went on; empty for the first attempt.
	ResumedAfter string
	// From is the index in the stream of the first of the events. Events of an earlier attempt count.
	From   int
	Events []conversation.Event
}

// ConversationPeers is the client that reaches the other hosts to look up and keep
// turns.
type ConversationPeers interface {
	// Self returns the address of this host.
	Self() string
	// Hosts returns the addresses of the other hosts.
	Hosts() []string
	// IsKnown reports whether the list of the other hosts has been read.
	IsKnown() bool
	// Find asks a host for a turn and all turns before it. It returns an error if the
	// host could not be reached or its reply was invalid.
	Find(ctx context.Context, host string, q TurnQuery) (Finding, conversation.Chain, error)
	// Keep sends a turn to a host. It returns false if the host can't do what the mode
	// asks for, and an error if the host could not be reached.
	Keep(ctx context.Context, host string, t *conversation.Turn, m KeepMode) (bool, error)
	// KeepEvents copies events of a stream to a host. It returns how many events of the attempt that host
	// holds then, counted from the first event of the stream; zero if it takes none.
	KeepEvents(ctx context.Context, host string, e AttemptEvents) (int, error)
	// FindEvents asks a host for what it holds of the events of a stream.
	FindEvents(ctx context.Context, host, stream string) ([]conversation.Held, error)
}

// ConversationServer answers the requests of other hosts.
type ConversationServer interface {
	// FindLocal looks a turn up in this host's memory and, if needed, in the log.
	FindLocal(ctx context.Context, q TurnQuery) (Finding, conversation.Chain)
	// KeepLocal caches or appends a turn of another host. It returns false if that
	// failed.
	KeepLocal(ctx context.Context, t *conversation.Turn, m KeepMode) bool
	// KeepEventsLocal holds events of a stream that another host sends to a caller. It returns how many events
	// of the attempt this host holds then, counted from the first event of the stream.
	KeepEventsLocal(e AttemptEvents) int
	// FindEventsLocal returns what this host holds of the events of a stream.
	FindEventsLocal(stream string) []conversation.Held
}
