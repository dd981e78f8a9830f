// Package peer connects hosts with each other over drpc. Client implements
// port.Peers; Server answers the calls of other hosts' clients.
//
// One drpc connection carries one call at a time, so the client keeps a
// bounded number of connections per host and keeps idle ones for reuse.
// Failures that callers may see, and answers of hosts that do not own a
// partition, travel as typed messages inside replies; everything else is a
// *port.PeerError.
package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// The bounds of the connections between hosts.
const (
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 16 << 20
	// keptBufferBytes bounds the buffers that a connection keeps between
	// messages.
	keptBufferBytes = 64 << 10
	// writeTimeout bounds one write to a connection, so that a peer that
	// stops reading is given up.
	writeTimeout = 10 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: keptBufferBytes},
	}
}
