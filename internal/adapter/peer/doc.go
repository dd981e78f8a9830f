// Package peer implements the calls between hosts over drpc. Client implements
// port.Peers; Server serves the clients of other hosts.
//
// A drpc connection carries one call at a time, so the client pools a bounded
// number of connections per host. Faults for callers, and the answers of hosts
// that do not own a partition, are typed messages inside replies; every other
// failure is a *port.PeerError.
package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// Bounds of the connections between hosts.
const (
	// MaxMessageBytes is the maximum size of one message in either direction.
	MaxMessageBytes = 16 << 20
	// keptBufferBytes bounds the buffers that a connection retains between
	// messages.
	keptBufferBytes = 64 << 10
	// writeTimeout bounds one write to a connection, so that a peer that stops
	// reading does not block its callers.
	writeTimeout = 10 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: keptBufferBytes},
	}
}
