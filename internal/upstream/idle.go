package upstream

import (
	"net"
	"syscall"
)

// isOpenAndEmpty reports whether an idle connection is open and no bytes have arrived on
// it. Such bytes answer no request, and must not be taken for the answer to the next.
func isOpenAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		isEmpty = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && isEmpty
}
