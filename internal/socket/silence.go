// Package socket sets options of TCP connections that the standard library has
// no names for.
package socket

import (
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// silenceTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up. Round trips within a region take milliseconds.
	silenceTimeout = 1200 * time.Millisecond
	// probeIdle, probeInterval and probeCount make the kernel probe a
	// connection that is waiting for an answer, so that it fails 3 s after the
	// other side has vanished.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// DetectSilence makes a connection fail once the other side stops
// acknowledging. It has the signature of net.Dialer.Control and
// net.ListenConfig.Control.
func DetectDeadPeer(_, _ string, c syscall.RawConn) error {
	var failed error
	set := func(fd int, level, option, value int) {
		if err := unix.SetsockoptInt(fd, level, option, value); err != nil && failed == nil {
			failed = errors.Annotatef(err, "socket option %d", option)
		}
	}
	err := c.Control(func(fd uintptr) {
		s := int(fd)
		set(s, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
		set(s, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle.Seconds()))
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds()))
		set(s, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount)
	})
	if err != nil {
		return errors.Trace(err)
	}
	return failed
}
