package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clientHost is the Host header of all requests.
const clientHost = "case.example"

var requestCounter atomic.Int64

// newRequestID returns an ID that no other attempt has.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestCounter.Add(1))
}

// attempt is one request of a client on a new connection.
type attempt struct {
	method, path string
	header       map[string]string
	body         []byte
	deadline     time.Duration
}

// answer is what a client got. isWhole says that the answer ended in order.
type answer struct {
	id      string
	status  int
	header  http.Header
	body    []byte
	isWhole bool
	err     error
	took    time.Duration
}

// events returns how many whole events the body has.
func (a answer) events() int { return bytes.Count(a.body, []byte("\n\n")) }

// send sends a request to a host and reads the answer until the deadline.
func (a attempt) send(ctx context.Context, address string) (out answer) {
	id, started := newRequestID(), time.Now()
	out.id = id
	defer func() { out.took = time.Since(started) }()
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.Write(a.encode(id)); err != nil {
		out.err = err
		return out
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(response.Body)
	out.isWhole = out.err == nil
	return out
}

// kept is a connection that carries one request after the other.
type kept struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// requests counts those that the connection has carried.
	requests int
}

// send sends a request and reads the answer until the deadline. A connection that has failed is replaced
// before the next request.
func (k *kept) send(ctx context.Context, a attempt) (out answer) {
	id, started := newRequestID(), time.Now()
	out.id = id
	defer func() {
		out.took = time.Since(started)
		if out.err != nil {
			k.close()
		}
	}()
	if k.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		if k.conn, out.err = dialer.DialContext(ctx, "tcp", k.address); out.err != nil {
			return out
		}
		k.reader, k.requests = bufio.NewReader(k.conn), 0
	}
	k.requests++
	_ = k.conn.SetDeadline(time.Now().Add(a.deadline))
	if _, out.err = k.conn.Write(a.encode(id)); out.err != nil {
		return out
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: a.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	out.body, out.err = io.ReadAll(response.Body)
	out.isWhole = out.err == nil
	if response.Close && out.err == nil {
		k.close()
	}
	return out
}

func (k *kept) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

func (a attempt) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: %d\r\n", a.method, a.path, clientHost, id, a.deadline.Milliseconds())
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if a.method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %d ms", reason(a.err), a.took.Milliseconds())
	}
	end := "whole"
	if !a.isWhole {
		end = "broken off"
	}
	text := fmt.Sprintf("%d, %s, %d bytes, %d ms", a.status, end, len(a.body), a.took.Milliseconds())
	if a.status >= 400 {
		text += " " + strings.TrimSpace(string(a.body[:min(len(a.body), 100)]))
	}
	return text
}

// reason returns an error without the addresses.
func reason(err error) error {
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err
}
