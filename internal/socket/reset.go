package socket

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// DialFunc is the type of net.Dialer.DialContext and http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialReportingResets returns a function that dials as d does. The connections report to their reader
// also a failure that a write has met before.
//
// The kernel reports the failure of a socket once, to the first system call that asks. If that is the
// write of a request, the read of the answer sees the end of the input after it, as if the peer had
// ended the answer in order.
func DialReportingResets(d net.Dialer) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newResetReporter(c)
	}
}

// resetReporter is a connection whose reads return the failure that ended it, also after a write has
// returned that.
type resetReporter struct {
	net.Conn
	raw syscall.RawConn
	// mu is held from a system call that writes until its error is in failure, so that a read which
	// sees the end of the input because of that call finds the error.
	mu sync.Mutex
	// failure is the first error of a system call that writes; nil if there was none.
	failure error
}

func newResetReporter(c net.Conn) (net.Conn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &resetReporter{Conn: c, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *resetReporter) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side in order.
func (c *resetReporter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, c.opError("read", failure)
	}
	return n, io.EOF
}

// writeFailure returns the failure of the connection that a write has met; nil if there was none, or
// if the peer had ended its side before it: writes fail with EPIPE then.
func (c *resetReporter) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == syscall.EPIPE {
		return nil
	}
	return c.failure
}

// Write implements net.Conn.
func (c *resetReporter) Write(b []byte) (int, error) {
	written := 0
	var failure error
	err := c.raw.Write(func(fd uintptr) bool {
		for written < len(b) && failure == nil {
			n, err := c.writeOnce(int(fd), b[written:])
			switch err {
			case nil:
				written += n
			case syscall.EAGAIN:
				return false
			case syscall.EINTR:
			default:
				failure = err
			}
		}
		return true
	})
	if failure != nil {
		err = c.opError("write", failure)
	}
	return written, err
}

func (c *resetReporter) writeOnce(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Write(fd, b)
	if err != nil && err != syscall.EAGAIN && err != syscall.EINTR && c.failure == nil {
		c.failure = err
	}
	return n, err
}

func (c *resetReporter) opError(op string, failure error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, failure)}
}
