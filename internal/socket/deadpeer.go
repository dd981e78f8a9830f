// Package socket sets TCP options for which the standard library has no API.
package socket

import (
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection
	// fails. Round trips within a region take milliseconds.
	ackTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes make the kernel probe a
	// connection that is waiting for an answer, so that it fails 3 s after the peer
	// has become unreachable.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// DetectDeadPeer makes a connection fail soon after its peer stops acknowledging. It has
// the signature of net.Dialer.Control and net.ListenConfig.Control.
func DetectDeadPeer(_, _ string, c syscall.RawConn) error {
	var failed error
	set := func(fd int, level, option, value int) {
		if err := unix.SetsockoptInt(fd, level, option, value); err != nil && failed == nil {
			failed = errors.Annotatef(err, "set socket option %d", option)
		}
	}
	err := c.Control(func(fd uintptr) {
		s := int(fd)
		set(s, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		set(s, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds()))
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds()))
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
	})
	if err != nil {
		return errors.Trace(err)
	}
	return failed
}
