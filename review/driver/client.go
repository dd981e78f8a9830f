package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	// status is zero if the connection ended without the head of an answer.
	status int
	stamp  string
	body   []byte
	// isWhole says that the answer was complete.
	isWhole bool
	err     error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, whole %v, error %v", a.status, a.stamp, len(a.body), a.isWhole, a.err)
}

// events returns how many events the client got.
func (a answer) events() int { return bytes.Count(a.body, []byte("\n\n")) }

// request is a request of a client.
type request struct {
	method, path, id string
	header           []string
	body             string
	deadline         time.Duration
	// closeWriteAfter closes the sending side of the connection after a time; zero means never.
	closeWriteAfter time.Duration
	// missingBytes is how much of the body that the header announces is not sent.
	missingBytes int
	// resetAfterEvents is the number of events after which the connection is reset; zero means never.
	resetAfterEvents int
}

// send sends a request on a connection of its own.
func (w *world) send(address string, q request) answer {
	w.record("%s %s %s is sent to %s", q.method, q.path, q.id, address)
	a := w.exchange(address, q)
	w.record("%s gets %v", q.id, a)
	return a
}

func (w *world) exchange(address string, q request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(q.deadline + time.Second)); err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nDeadline: %d\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body)+q.missingBytes)
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	if q.closeWriteAfter > 0 {
		time.AfterFunc(q.closeWriteAfter, func() {
			w.record("%s: the client closes its sending side", q.id)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		})
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	var reader io.Reader = response.Body
	if q.resetAfterEvents > 0 {
		reader = &resettingReader{Reader: response.Body, conn: c, events: q.resetAfterEvents}
	}
	body, err := io.ReadAll(reader)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: body, isWhole: err == nil, err: err}
}

// resettingReader resets the connection of a stream after some events.
type resettingReader struct {
	io.Reader
	conn   net.Conn
	events int
}

var errReset = errors.New("connection was reset")

// Read implements io.Reader.
func (r *resettingReader) Read(p []byte) (int, error) {
	if r.events <= 0 {
		if tcp, ok := r.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = r.conn.Close()
		return 0, errReset
	}
	n, err := r.Reader.Read(p)
	r.events -= bytes.Count(p[:n], []byte("\n\n"))
	return n, err
}
