package replica

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

const errorBody = `{"error":"engine failed"}`

// spoiledResume answers the rest of a stream of some events wrongly, in the way of the
// exchange's fault.
func (x *exchange) spoiledResume(events int) bool {
	switch x.fault {
	case JSONResume:
		return x.body(http.StatusOK, "application/json", errorBody)
	case HTMLResume:
		return x.body(http.StatusOK, "text/html", "<html>id: 9\n\n</html>\n\n")
	case NoContentResume:
		return x.head(http.StatusNoContent, x.stamp())
	case EmptyResume:
		x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Connection: close")
		return false
	}
	if !x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Transfer-Encoding: chunked") {
		return false
	}
	for i := 1; i <= events; i++ {
		if !x.chunk(fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)) {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// body sends a complete answer with a length.
func (x *exchange) body(status int, contentType, body string) bool {
	if !x.head(status, x.stamp(), "Content-Type: "+contentType, fmt.Sprint("Content-Length: ", len(body))) {
		return false
	}
	_, err := io.WriteString(x.conn, body)
	return err == nil
}

// errorInside sends a part of an unframed stream and then an error in its middle.
func (x *exchange) errorInside(first, events int) bool {
	x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Connection: close")
	var b strings.Builder
	for i := first; i <= (first+events)/2; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", i, i)
	}
	if x.fault == HeadInside {
		fmt.Fprintf(&b, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n", len(errorBody))
	}
	b.WriteString(errorBody + "\n\n")
	_, _ = io.WriteString(x.conn, b.String())
	return false
}
