package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// largeAnswerBytes is the size of an answer that callers don't buffer.
const largeAnswerBytes = 1 << 20

// isDeath reports whether a fault takes the replica down.
func isDeath(f Fault) bool {
	return f == Crashing || f == Vanishing || f == CrashingUnframed || f == CrashingLarge
}

// die takes the replica down while it runs a request, and calls ended.
func (r *Replica) die(x *exchange, how Fault, reader *bufio.Reader, ended func()) {
	if how == Vanishing {
		r.vanish()
		ended()
		_, _ = reader.Peek(1)
		return
	}
	defer ended()
	switch how {
	case CrashingUnframed:
		x.halfUnframed()
		r.kill()
	case CrashingLarge:
		_ = x.head(http.StatusOK, x.stamp(), "Content-Length: "+strconv.Itoa(largeAnswerBytes))
		_, _ = io.WriteString(x.conn, strings.Repeat("x", largeAnswerBytes/2))
		r.kill()
	default:
		r.crash()
	}
}

// halfUnframed sends a part of an answer that has neither a length nor chunks. The part
// of a stream ends between two events.
func (x *exchange) halfUnframed() {
	if strings.Contains(x.request.Header.Get("Accept"), "text/event-stream") {
		_ = x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Connection: close")
		_, _ = io.WriteString(x.conn, "id: 1\ndata: part 1\n\n")
		return
	}
	_ = x.head(http.StatusOK, x.stamp(), "Connection: close")
	body := "answer to " + x.request.Header.Get("Request-Id")
	_, _ = io.WriteString(x.conn, body[:len(body)/2])
}

// Close crashes the replica: its connections are reset.
func (r *Replica) Close() {
	r.crash()
	r.serving.Wait()
}

func (r *Replica) crash() {
	r.vanish()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// vanish takes no further connections and says nothing on those that there are.
func (r *Replica) vanish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isDown {
		close(r.down)
	}
	r.isDown = true
	_ = r.listener.Close()
}

// kill ends the replica as the end of its process does: its connections are closed
// without a reset.
func (r *Replica) kill() {
	r.vanish()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
