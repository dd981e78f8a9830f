package httpcall

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const dialTimeout = 2 * time.Second

// LateError says that a call could not be written before its last moment.
type SendDeadlineError struct{}

// Error implements error.
func (*SendDeadlineError) Error() string { return "last moment to write the call has passed" }

// exchange is one call on a connection of its own.
type exchange struct {
	leaveBy time.Time
	// left is set before the first byte is written.
	left atomic.Bool
}

// isLate says whether nothing may be written any more.
func (e *exchange) isLate() bool {
	return !e.leaveBy.IsZero() && time.Now().After(e.leaveBy)
}

type exchangeKey struct{}

func withExchange(ctx context.Context, e *exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, e)
}

// dialExchange dials, and watches the connection if it is for one exchange.
func dialExchange(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if call, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		return &watchedConn{Conn: conn, call: call}, nil
	}
	return conn, nil
}

// watchedConn is a connection for one exchange.
type watchedConn struct {
	net.Conn
	call *exchange
}

// Write implements net.Conn. It writes nothing once the exchange is late.
func (c *watchedConn) Write(b []byte) (int, error) {
	if c.call.isLate() {
		return 0, &SendDeadlineError{}
	}
	c.call.left.Store(true)
	return c.Conn.Write(b)
}
