// Package connlimit bounds what the clients of a process can make it hold before they have sent a
// request: their open connections, and the bytes of requests that have not arrived whole. All
// bytes that clients send pass a Listener. When a bound is reached, it closes the connection that
// has made no progress for longest.
package connlimit

import "math"

// Limits bound the connections that one listener has accepted.
type Limits struct {
	// Connections is how many may be open at a time.
	Connections int
	// PendingBytes is how much memory the requests that have not arrived whole may take together,
	// in bytes.
	PendingBytes int64
}

// Budget holds the limits of the listeners of a process.
type Budget struct {
	// Callers is for the port of callers, Probes for the ports of readiness probes and of metrics
	// each, Peers for the port of other hosts.
	Callers, Probes, Peers Limits
}

const (
	// reservedDescriptors are those that the platform keeps for itself.
	reservedDescriptors = 200
	// callersShare, peersShare and probesShare are parts of the other descriptors. The rest, 5/16,
	// is for connections to targets, to the store and to other hosts.
	callersShare = 3. / 8
	peersShare   = 1. / 4
	probesShare  = 1. / 32
	// minConnections is the least number of connections of a listener: two probes a second that
	// last for some seconds.
	minConnections = 8
	// connectionBytes is about what an idle connection takes: a stack of 8 KB, two buffers of
	// 4 KB, and the records of net/http and of the network poller.
	connectionBytes = 24 << 10
	// connectionsMemoryShare is the part of the memory that idle connections of callers may take.
	connectionsMemoryShare = 1. / 4
	// pendingMemoryShare is the part of the memory that unfinished heads, or unfinished messages of
	// other hosts, may take.
	pendingMemoryShare = 1. / 16
	// maxMessageBytes is the longest message that drpc accepts.
	maxMessageBytes = 4 << 20
	// minPeerPendingBytes leaves room for two of the longest messages between hosts.
	minPeerPendingBytes = 2 * maxMessageBytes * byteCost
	// defaultMemoryBytes is used if the memory is not known. It is that of a small host.
	defaultMemoryBytes = 112 << 20
	// defaultDescriptors is used if the limit of descriptors is not known. It is that of a small
	// host.
	defaultDescriptors = 3075
)

// NewBudget derives the limits from the machine's memory in bytes and its limit of descriptors.
// Zero means that one is not known; the figure of a small host is used then.
func NewBudget(memoryBytes int64, descriptors int) Budget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	usable := float64(max(descriptors-reservedDescriptors, 0))
	byMemory := min(connectionsMemoryShare*float64(memoryBytes)/connectionBytes, math.MaxInt32)
	connections := func(share float64) int { return max(int(min(share*usable, byMemory)), minConnections) }
	pending := int64(pendingMemoryShare * float64(memoryBytes))
	return Budget{
		Callers: Limits{Connections: connections(callersShare), PendingBytes: pending},
		Probes:  Limits{Connections: connections(probesShare), PendingBytes: pending / minConnections},
		Peers:   Limits{Connections: connections(peersShare), PendingBytes: max(pending, minPeerPendingBytes)},
	}
}
