package replica

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// uploadPause is how long a replica that answers early leaves the rest of the body unread.
const uploadPause = 50 * time.Millisecond

// breakOffEarly sends a part of an answer without a length while the body arrives, and ends the connection.
func (x *exchange) breakOffEarly() {
	if x.fault == EarlyClose {
		// A caller that has gone needs no answer.
		_, _ = io.CopyN(io.Discard, x.request.Body, x.request.ContentLength/2)
	}
	x.halfUnframed()
	switch x.fault {
	case EarlyClose:
		// The kernel resets a connection that is closed with bytes unread.
		awaitBytes(x.conn)
	case EarlyReset:
		reset(x.conn)
	}
}

// awaitBytes waits until bytes that have not been read are there, or the connection has ended.
func awaitBytes(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK)
		return err != unix.EAGAIN
	})
}

// isEarlyUnframed reports whether a replica with a fault sends a complete answer without a length before
// it has read the body.
func isEarlyUnframed(f Fault) bool { return f == EarlyEnd || f == EarlyUnframed }

// answerEarly sends a complete answer without a length. It returns false if that failed.
func (r *Replica) answerEarly(x *exchange) bool {
	contentType, body := "text/plain", "answer to "+x.request.Header.Get("Request-Id")
	if strings.Contains(x.request.Header.Get("Accept"), "text/event-stream") {
		contentType, body = "text/event-stream", ""
		for i := 1; i <= r.options.Events; i++ {
			body += r.event(i)
		}
	}
	if !x.head(http.StatusOK, x.stamp(), "Content-Type: "+contentType, "Connection: close") {
		return false
	}
	if _, err := io.WriteString(x.conn, body); err != nil {
		return false
	}
	if x.fault == EarlyEnd {
		if err := x.conn.(*net.TCPConn).CloseWrite(); err != nil {
			return false
		}
	}
	time.Sleep(uploadPause)
	return true
}
