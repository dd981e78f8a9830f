package testutil

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// KeptServer sends the same bytes in answer to each request, and keeps its connections open.
type KeptServer struct {
	listener net.Listener
	opened   atomic.Int64
}

// NewKeptServer starts a server that ends with the test.
func NewKeptServer(t testing.TB, answer string) *KeptServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &KeptServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go serveKept(c, answer)
		}
	}()
	return s
}

func serveKept(c net.Conn, answer string) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// Address returns the address as IP:PORT.
func (s *KeptServer) Address() string { return s.listener.Addr().String() }

// Opened returns how many connections were opened to the server.
func (s *KeptServer) Opened() int { return int(s.opened.Load()) }
