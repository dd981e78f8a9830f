package connlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// state is what a connection is doing.
type state int

const (
	// stateHead waits for the head of the first request.
	stateHead state = iota
	// stateIdle waits for the head of a further request.
	stateIdle
	// stateBody receives the body of a request.
	stateBody
	// stateServing has received a request, and answers it.
	stateServing
)

const (
	// byteCost is what a byte of an unfinished request or message takes: the buffer that it was
	// read into, a copy of it, and the copy before, while the copy grows.
	byteCost = 3
	// lineCost is what a line of an unfinished head takes besides, as an entry of a map.
	lineCost = 200
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	closing  sync.Once
	// frames follows the messages on a connection of another host; nil on HTTP connections.
	frames *frames

	// The rest is guarded by the listener's lock.
	state state
	// since is when the connection made progress last.
	since time.Time
	// wasServed is set once a request was answered.
	wasServed bool
	// pending is the cost of the bytes that are no request yet.
	pending int64
	// isEvicted is set once the connection was closed to keep the limits.
	isEvicted bool
	// writingSince is when the write in progress began; zero if there is none.
	writingSince time.Time
}

// isCounting reports whether received bytes belong to something that has not arrived whole and
// that nobody else accounts for. Bodies of HTTP requests are accounted for where they are read.
func (c *Conn) isCounting() bool { return c.state == stateHead || c.state == stateIdle }

// isWaiting reports whether the connection waits for its client.
func (c *Conn) isWaiting(now time.Time) bool {
	return c.state != stateServing || !c.writingSince.IsZero() && now.Sub(c.writingSince) >= stalledWrite
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.listener.awaitEnding()
	n, err := c.Conn.Read(p)
	switch {
	case n <= 0:
	case c.frames == nil:
		c.listener.charge(c, int64(n)*byteCost+int64(bytes.Count(p[:n], []byte{'\n'}))*lineCost)
	default:
		rest, completed := c.frames.consume(p[:n])
		if completed {
			c.listener.progress(c, stateHead)
		}
		c.listener.charge(c, int64(rest)*byteCost)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.listener.writing(c, time.Now())
	n, err := c.Conn.Write(p)
	c.listener.writing(c, time.Time{})
	return n, err
}

// CloseWrite closes the sending side, as net/http does before it gives up a connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

type connKey struct{}

// Configure makes an HTTP server report the progress of its connections, which a Listener has to
// have accepted. It sets ConnState, ConnContext and Handler.
func Configure(s *http.Server) {
	s.ConnState = func(c net.Conn, changed http.ConnState) {
		limited, ok := c.(*Conn)
		if !ok {
			return
		}
		switch changed {
		case http.StateActive:
			limited.listener.progress(limited, stateServing)
		case http.StateIdle:
			limited.listener.progress(limited, stateIdle)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && r.ContentLength != 0 {
			c.listener.progress(c, stateBody)
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. It reports when it has arrived whole.
type body struct {
	io.ReadCloser
	conn   *Conn
	isRead bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.isRead {
		b.isRead = true
		b.conn.listener.progress(b.conn, stateServing)
	}
	return n, err
}

// framedListener accepts connections of other hosts.
type framedListener struct{ *Listener }

// Framed returns l for connections that carry drpc instead of HTTP. The bytes of a message count
// as pending until it is complete.
func (l *Listener) Framed() net.Listener { return framedListener{l} }

// Accept implements net.Listener.
func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if limited, ok := c.(*Conn); ok {
		limited.frames = &frames{}
	}
	return c, err
}
