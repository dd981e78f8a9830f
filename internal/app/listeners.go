package app

import (
	"net"
	"time"

	"yuccausher/internal/port"
	"yuccausher/internal/settings"
)

// listeners are the sockets of a host.
type listeners struct {
	client net.Listener
	peer   net.Listener
}

// ListenError reports that the host can't listen at an address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "can't listen at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func listen(o Options) (*listeners, error) {
	client, err := listenAt(o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	peer, err := listenAt(o.Settings.PeerListen)
	if err != nil {
		_ = client.Close()
		return nil, err
	}
	if o.Gate == nil {
		return &listeners{client: client, peer: peer}, nil
	}
	return &listeners{client: o.Gate.Listener(client), peer: o.Gate.Listener(peer)}, nil
}

func listenAt(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return l, nil
}

func (l *listeners) close() {
	_ = l.client.Close()
	_ = l.peer.Close()
}

// self returns the identity of the host that listens here. Its incarnation is its
// start time in Unix nanoseconds.
func (l *listeners) self(s *settings.Serve) port.Host {
	return port.Host{
		ID:            advertisedAddress(s.PeerAddress, s.PeerListen, l.peer),
		DataCentre:    s.DataCentre,
		Incarnation:   uint64(time.Now().UnixNano()),
		ClientAddress: advertisedAddress(s.ClientAddress, s.Listen, l.client),
	}
}

// advertisedAddress returns the configured address, unless it equals the listen
// address. In that case it returns the actual one, because the operating system may
// have chosen the port.
func advertisedAddress(address, listen string, l net.Listener) string {
	if address != listen {
		return address
	}
	return l.Addr().String()
}
