package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy is a path to the store whose open connections can fall silent while new ones work.
type proxy struct {
	listener net.Listener
	server   string
	// targetReads receives when the host reads the replicas' entries.
	targetReads chan struct{}

	mu    sync.Mutex
	conns map[*passage]bool
}

// passage is one connection through a proxy.
type passage struct {
	client, server net.Conn
	silent         chan struct{}
	ended          chan struct{}
	once           sync.Once
}

func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, targetReads: make(chan struct{}), conns: make(map[*passage]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	x := &passage{client: client, server: server, silent: make(chan struct{}), ended: make(chan struct{})}
	p.mu.Lock()
	p.conns[x] = true
	p.mu.Unlock()
	go x.copy(server, client, func(data []byte) {
		if bytes.Contains(data, []byte("topic=keyed.servers")) {
			select {
			case p.targetReads <- struct{}{}:
			default:
			}
		}
	})
	x.copy(client, server, func([]byte) {})
	p.mu.Lock()
	delete(p.conns, x)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. On a silent connection nothing passes, an end
// neither.
func (x *passage) copy(to, from net.Conn, see func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-x.silent:
			<-x.ended
			return
		default:
		}
		if n > 0 {
			see(buffer[:n])
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	x.end()
}

func (x *passage) end() {
	x.once.Do(func() {
		close(x.ended)
		_ = x.client.Close()
		_ = x.server.Close()
	})
}

// silence makes the open connections fall silent. They are reset after a time, as the keep-alive
// probes of the host would end them.
func (p *proxy) silence(resetAfter time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	for x := range p.conns {
		close(x.silent)
		time.AfterFunc(resetAfter, func() {
			if tcp, ok := x.client.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			x.end()
		})
	}
	clear(p.conns)
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		x.end()
	}
}
