package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path string
	header       map[string]string
	body         string
	id           string
}

// reply is what a client gets. isWhole says that the answer has ended in order.
type reply struct {
	id      string
	status  int
	header  http.Header
	body    string
	isWhole bool
	err     error
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection. onLine, unless it is nil, is called with each line of the answer;
// the connection is reset if it returns false.
func (w *world) send(h *host, r request, onLine func(string) bool) reply {
	if r.id == "" {
		r.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.front+r.path, strings.NewReader(r.body))
	must(err)
	httpRequest.Host = "a.example"
	httpRequest.Header.Set("Request-Id", r.id)
	httpRequest.Header.Set("Deadline", "3000")
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	var conn net.Conn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		conn = c
		return c, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	defer transport.CloseIdleConnections()
	w.note("client sends %s %s to %s, Request-Id %s, %v", r.method, r.path, h.name, r.id, r.header)
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		w.note("client of %s gets no answer: %v", r.id, err)
		return reply{id: r.id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := reply{id: r.id, status: response.StatusCode, header: response.Header}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		got.body += line
		if line != "" && onLine != nil && !onLine(line) {
			reset(conn)
			w.note("the connection of %s is reset", r.id)
			return got
		}
		if err != nil {
			got.isWhole = errors.Is(err, io.EOF)
			got.err = err
			break
		}
	}
	w.note("client of %s gets status %d, stamp %q, body whole: %v, %q", r.id, got.status, got.header.Get("Server-Stamp"), got.isWhole, got.body)
	return got
}

// events returns the IDs of the complete events in a stream.
func events(body string) []string {
	var ids []string
	for block := range strings.SplitSeq(body, "\n\n") {
		for line := range strings.SplitSeq(block, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
