package front

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yuccausher/internal/testutil"
)

// cut is how a path is cut.
type cut int

const (
	// silent drops all packets.
	silent cut = iota
	// reset resets the connections and refuses new ones.
	reset
	// refuse refuses new connections; the others live on.
	refuse
)

// path is the network path between one host and one target.
type path struct {
	t       *testing.T
	server  string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// blocked is closed when a silent cut ends; nil without one.
	blocked chan struct{}
	fillers []net.Conn
}

func newPath(t *testing.T, server string) *path {
	t.Helper()
	p := &path{t: t, server: server, address: testutil.ReservedAddress(t), conns: make(map[net.Conn]bool)}
	p.listen()
	t.Cleanup(func() {
		p.heal()
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.listener.Close()
		for c := range p.conns {
			_ = c.Close()
		}
	})
	return p
}

// listen listens with the shortest queue of new connections: once it is full, their packets are
// dropped.
func (p *path) listen() {
	p.t.Helper()
	at, err := net.ResolveTCPAddr("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		p.t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		p.t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		p.t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "path")
	l, err := net.FileListener(f)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = f.Close()
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
}

func (p *path) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *path) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[client] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{server, client}, {client, server}} {
		go func() {
			p.copy(ends[0], ends[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// copy copies bytes, none of them during a silent cut.
func (p *path) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		blocked := p.blocked
		p.mu.Unlock()
		if blocked != nil {
			<-blocked
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut cuts the path.
func (p *path) cut(how cut) {
	p.mu.Lock()
	l := p.listener.(*net.TCPListener)
	if how == reset {
		for c := range p.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	if how == silent {
		p.blocked = make(chan struct{})
	}
	p.mu.Unlock()
	if how != silent {
		_ = l.Close()
		return
	}
	// Without anybody who accepts them, connections fill the queue.
	_ = l.SetDeadline(time.Unix(1, 0))
	for {
		c, err := net.DialTimeout("tcp", p.address, 50*time.Millisecond)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
}

// heal ends the cut.
func (p *path) heal() {
	p.mu.Lock()
	_ = p.listener.Close()
	if p.blocked != nil {
		close(p.blocked)
		p.blocked = nil
	}
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	p.mu.Unlock()
	p.listen()
}
