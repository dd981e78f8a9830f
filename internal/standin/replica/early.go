package replica

import (
	"io"
	"net"
	"strings"
	"time"
)

// uploadPause is how long a replica that answers early leaves the rest of the body unread.
const uploadPause = 50 * time.Millisecond

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
	if !x.head(200, x.stamp(), "Content-Type: "+contentType, "Connection: close") {
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
