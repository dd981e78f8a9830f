package httpcall

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"yuccausher/internal/socket"
)

const dialTimeout = 2 * time.Second

// SendDeadlineError reports that the send deadline passed before the call was written.
type SendDeadlineError struct{}

// Error implements error.
func (*SendDeadlineError) Error() string { return "send deadline has passed" }

// exchange is one call on a connection of its own.
type exchange struct {
	sendDeadline time.Time
	// sent is set before the first byte is written.
	sent atomic.Bool
}

// isPastDeadline reports whether the send deadline has passed.
func (e *exchange) isPastDeadline() bool {
	return !e.sendDeadline.IsZero() && time.Now().After(e.sendDeadline)
}

type exchangeKey struct{}

func withExchange(ctx context.Context, e *exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, e)
}

// dialExchange dials, and watches the connection if it is for one exchange.
func dialExchange(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := socket.DialReportingResets(net.Dialer{Timeout: dialTimeout})(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if call, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		return &trackedConn{Conn: conn, call: call}, nil
	}
	return conn, nil
}

// trackedConn is a connection for one exchange.
type trackedConn struct {
	net.Conn
	call *exchange
}

// Write implements net.Conn. It writes nothing after the send deadline.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.call.isPastDeadline() {
		return 0, &SendDeadlineError{}
	}
	c.call.sent.Store(true)
	return c.Conn.Write(b)
}
