package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// drainTimeout and maxDrainBytes limit the rest of an answer that is read only to
	// reuse its connection.
	drainTimeout  = 20 * time.Millisecond
	maxDrainBytes = 16 << 10
)

// ErrGivenBack reports a use of a Conn, or of the body of its answer, after it was given back.
var ErrGivenBack = errors.New("connection was given back")

// ConnectionID identifies a connection of a pool over all its uses.
type ConnectionID uint64

// Conn is the use of a connection to a target by one request. Release, Drain, Abort and a failed
// Exchange end it. From then on the connection may carry the request of another caller, and nothing
// that still holds the Conn has an effect on it: neither the end of the request's context nor a late
// reader of the body.
//
// It is used by one goroutine at a time; only its context may end at any moment.
type Conn struct {
	// Reused is set if the connection has carried another request.
	Reused bool

	pool *Pool
	// mu orders the end of the context and the end of the use.
	mu sync.Mutex
	// connection is nil once the use has ended. It is written with mu held.
	connection *connection
	// detach releases the context of the exchange; nil before it.
	detach func() bool
	// reusable is set if the answer was read to its end and the target keeps the
	// connection open.
	reusable bool
	// writeDone is closed after the request was written, with the error in writeErr.
	writeDone chan struct{}
	writeErr  error
}

// ID returns the ID of the connection; zero once its use has ended.
func (c *Conn) ID() ConnectionID {
	if c.connection == nil {
		return 0
	}
	return c.connection.id
}

// cancelOnDone makes the connection fail when ctx ends, as long as it is in use.
func (c *Conn) cancelOnDone(ctx context.Context) {
	c.detach = context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.connection != nil {
			// A deadline in the past fails all pending reads and writes.
			_ = c.connection.SetDeadline(time.Unix(1, 0))
		}
	})
}

// end ends the use of the connection and returns it, once; nil after that.
func (c *Conn) end() *connection {
	if c.detach != nil {
		c.detach()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.connection
	c.connection = nil
	return used
}

// Release returns the connection to the pool after its exchange, or closes it if it
// can't be reused.
func (c *Conn) Release() {
	used := c.end()
	if used == nil {
		return
	}
	if !c.reusable || !c.isWritten() || used.reader.Buffered() > 0 || used.SetDeadline(time.Time{}) != nil {
		c.pool.discard(used)
		return
	}
	c.pool.putIdle(used)
}

func (c *Conn) isWritten() bool {
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
		return false
	}
}

// Abort closes a connection during its exchange, so that the target stops running the
// request.
func (c *Conn) Abort() {
	if used := c.end(); used != nil {
		c.pool.discard(used)
	}
}

// Drain reads and discards the rest of an answer and returns the connection to the pool.
// If the rest exceeds maxDrainBytes or drainTimeout it closes the connection instead,
// which costs less than reading on.
func (c *Conn) Drain(response *http.Response) {
	if c.connection == nil {
		return
	}
	if err := c.connection.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		c.Abort()
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		c.Abort()
		return
	}
	c.Release()
}
