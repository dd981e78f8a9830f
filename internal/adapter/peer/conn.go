package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
)

// countingConn counts the bytes written to a connection and sets a deadline for
// each write.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// clientConn is a drpc connection that counts the bytes sent.
type clientConn struct {
	*drpcconn.Conn
	transport *countingConn
}

func newClientConn(c net.Conn) *clientConn {
	counted := &countingConn{Conn: c}
	options := drpcconn.Options{Manager: managerOptions()}
	return &clientConn{
		Conn:      drpcconn.NewWithOptions(counted, options),
		transport: counted,
	}
}

func (c *clientConn) sentBytes() int64 { return c.transport.written.Load() }

// closeReason returns the protocol violation that closed the connection, since a
// call that was writing only sees that the connection is closed. If there was
// none, it returns err.
func (c *clientConn) closeReason(err error) error {
	select {
	case <-c.Closed():
	default:
		return err
	}
	_, why := c.NewStream(context.Background(), "", nil)
	if isProtocolViolation(why) {
		return why
	}
	return err
}
