package upstream

import (
	"net"
	"syscall"
)

// isQuiet says whether an idle connection is open and nothing has arrived on
// it: bytes that no request has asked for belong to none that follows.
func isOpenAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
