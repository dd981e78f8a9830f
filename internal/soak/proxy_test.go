package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/testutil"
)

// mode is what a proxy does to the bytes that pass it.
type mode int32

const (
	open mode = iota
	// slow delays each chunk.
	slow
	// silent holds all bytes back, in both directions.
	silent
	// oneWay holds back what comes from the server.
	oneWay
)

const (
	slowDelay  = 40 * time.Millisecond
	heldPoll   = 10 * time.Millisecond
	chunkBytes = 16 << 10
)

// proxy is a path between two processes that can be harmed.
type proxy struct {
	listener net.Listener
	reserved *testutil.Reservation
	server   atomic.Pointer[string]
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	reserved, err := testutil.ReserveAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", reserved.Address())
	if err != nil {
		reserved.Release()
		return nil, err
	}
	p := &proxy{listener: l, reserved: reserved, conns: make(map[net.Conn]bool)}
	p.server.Store(&server)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.reserved.Address() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", *p.server.Load())
	if err != nil {
		resetConn(client)
		return
	}
	defer server.Close()
	p.keep(client, true)
	p.keep(server, true)
	defer p.keep(client, false)
	defer p.keep(server, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) keep(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy passes bytes on; an end of one side ends the other in the same way.
func (p *proxy) copy(to, from net.Conn, isAnswer bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(isAnswer)
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			p.hold(isAnswer)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			resetConn(to)
			return
		}
	}
}

// hold waits for as long as the proxy's mode asks.
func (p *proxy) hold(isAnswer bool) {
	for {
		switch mode(p.mode.Load()) {
		case slow:
			time.Sleep(slowDelay)
			return
		case silent:
		case oneWay:
			if !isAnswer {
				return
			}
		default:
			return
		}
		time.Sleep(heldPoll)
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// refuseNew refuses new connections until reopen is called.
func (p *proxy) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// refuse resets all connections and refuses new ones until reopen is called.
func (p *proxy) refuse() {
	p.refuseNew()
	p.reset()
}

// reopen ends refuseNew and refuse.
func (p *proxy) reopen() error {
	l, err := net.Listen("tcp", p.address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.set(open)
	p.reset()
	p.reserved.Release()
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
