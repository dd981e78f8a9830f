// Package socket opens TCP connections that fail soon after their peers become unreachable.
package socket

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveProbes make the kernel probe a connection
	// that is waiting for an answer, so that it fails 3 s after the peer has become unreachable.
	// One lost probe is not enough.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	// The kernel also ends probing after it, so that it must not be shorter than all probes
	// take. A sound peer may be silent for little more than a second.
	ackTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval
)

// keepAlive replaces the probes that the library sets up by itself.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dialer returns a dialer whose connections fail soon after their peers become unreachable.
// timeout limits connecting; zero means no limit.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// WithReceiveBuffer returns a dialer whose connections hold about so many bytes that have
// arrived and are not read yet. The peer waits then.
func WithReceiveBuffer(d net.Dialer, bytes int) net.Dialer {
	control := d.Control
	d.Control = func(network, address string, c syscall.RawConn) error {
		if err := control(network, address, c); err != nil {
			return err
		}
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Annotate(failed, "set the size of the receive buffer")
	}
	return d
}

// ListenConfig returns a configuration for listening with the same effect on accepted connections.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// setAckTimeout has the signature of net.Dialer.Control and net.ListenConfig.Control.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(failed, "set the timeout for acknowledgements")
}
