package main_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards connections to an address until it is cut.
type relay struct {
	listener net.Listener

	mu    sync.Mutex
	to    string
	isCut bool
	conns map[net.Conn]struct{}
}

// startRelay listens on a free port. leadTo sets the destination later.
func startRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, conns: make(map[net.Conn]struct{})}
	go r.accept()
	t.Cleanup(func() {
		listener.Close()
		r.cut()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) leadTo(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = address
}

// cut closes all connections and rejects new ones.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
	for conn := range r.conns {
		conn.Close()
	}
	clear(r.conns)
}

// heal accepts connections again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(conn)
	}
}

// add registers a connection, for cut to close, and returns the destination. It
// returns false if the relay is cut.
func (r *relay) add(conn net.Conn) (to string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return "", false
	}
	r.conns[conn] = struct{}{}
	return r.to, true
}

func (r *relay) carry(from net.Conn) {
	defer from.Close()
	address, ok := r.add(from)
	if !ok {
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	if _, ok := r.add(to); !ok {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pass(to, from) })
	both.Go(func() { pass(from, to) })
	both.Wait()
}

// pass copies until one side ends, then closes both.
func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	to.Close()
	from.Close()
}
