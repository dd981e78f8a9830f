package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"
)

// pipeListener accepts the server sides of pipes.
type pipeListener struct {
	conns   chan net.Conn
	closing sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	l.closing.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is an HTTP server behind a listener with limits, on pipes.
type fixture struct {
	pipes    *pipeListener
	listener *Listener
	// release lets handlers of /slow answer.
	release chan struct{}
}

func newFixture(t *testing.T, limits Limits) *fixture {
	f := &fixture{pipes: &pipeListener{conns: make(chan net.Conn)}, release: make(chan struct{})}
	f.listener = Listen(f.pipes, Options{Port: "test", Limits: limits, Refusal: []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), Logger: logr.Discard(), Scope: tally.NoopScope})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-f.release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	Configure(server)
	go func() { _ = server.Serve(f.listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		// The server leaves a connection that it gives up open for half a second.
		time.Sleep(time.Second)
	})
	return f
}

// dial returns the client's side of a new connection.
func (f *fixture) dial(t *testing.T) net.Conn {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	f.pipes.conns <- server
	synctest.Wait()
	// The age of connections tells them apart.
	time.Sleep(time.Millisecond)
	return client
}

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	synctest.Wait()
	return err
}

// isClosed reports whether the server has closed a connection that has nothing to read.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

// get makes a request and returns the answer's status.
func get(c net.Conn, path string) int {
	if err := write(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	return status(c)
}

func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against idle connections that keep out new ones, and against the close of connections
// that callers keep for their next requests while others have sent nothing at all.
func TestOldestConnectionWithoutRequestIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, Limits{Connections: 3, PendingBytes: 1 << 20})
		served, older, newer := f.dial(t), f.dial(t), f.dial(t)
		is.Equal(get(served, "/"), http.StatusOK)
		last := f.dial(t)
		is.True(isClosed(older))
		is.True(!isClosed(newer))
		is.Equal(get(served, "/"), http.StatusOK)
		is.Equal(get(last, "/"), http.StatusOK)
	})
}

// Guards against the close of connections whose requests are being answered: the newcomer is
// refused with a status that says that its request has not run.
func TestNewcomerIsRefusedWhileAllAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, Limits{Connections: 2, PendingBytes: 1 << 20})
		conns := []net.Conn{f.dial(t), f.dial(t)}
		for _, c := range conns {
			is.NoErr(write(c, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
		}
		client, server := net.Pipe()
		defer client.Close()
		go func() { f.pipes.conns <- server }()
		is.Equal(status(client), http.StatusServiceUnavailable)
		close(f.release)
		for _, c := range conns {
			is.Equal(status(c), http.StatusOK)
		}
	})
}

// Guards against bodies that never end and keep out new connections.
func TestConnectionWithUnfinishedBodyIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, Limits{Connections: 1, PendingBytes: 1 << 20})
		held := f.dial(t)
		is.NoErr(write(held, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello"))
		is.Equal(get(f.dial(t), "/"), http.StatusOK)
		is.True(isClosed(held))
	})
}

// Guards against heads that never end and together take more memory than there is for them, also
// if few connections are open, and against a short head being closed for older long ones.
func TestUnfinishedHeadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, Limits{Connections: 100, PendingBytes: 60_000})
		var conns []net.Conn
		for range 20 {
			c := f.dial(t)
			conns = append(conns, c)
			// The connection may be closed while it sends.
			_ = write(c, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 3000))
			f.listener.mu.Lock()
			is.True(f.listener.pending <= 60_000)
			f.listener.mu.Unlock()
		}
		is.True(isClosed(conns[0]))
		last := conns[len(conns)-1]
		is.NoErr(write(last, "\r\n\r\n"))
		is.Equal(status(last), http.StatusOK)
	})
}

// Guards against messages of other hosts that never end, and against the close of connections
// whose messages end, however many bytes pass before anything is answered, as those of a request
// that is handed over do.
func TestUnfinishedMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	pipes := &pipeListener{conns: make(chan net.Conn, 1)}
	l := Listen(pipes, Options{Port: "test", Limits: Limits{Connections: 10, PendingBytes: 30_000}, Logger: logr.Discard(), Scope: tally.NoopScope})
	accept := func() (client net.Conn, server net.Conn) {
		client, inner := net.Pipe()
		pipes.conns <- inner
		server, err := l.Framed().Accept()
		is.NoErr(err)
		return client, server
	}
	pass := func(from, to net.Conn, data []byte) error {
		go func() { _, _ = from.Write(data) }()
		_, err := io.ReadFull(to, make([]byte, len(data)))
		return err
	}
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 5000), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Done: true})
	endless, endlessServer := accept()
	good, goodServer := accept()
	defer good.Close()
	defer endless.Close()
	for range 50 {
		is.NoErr(pass(good, goodServer, frame))
	}
	is.NoErr(pass(endless, endlessServer, drpcwire.AppendVarint([]byte{4, 1, 1}, 1<<20)))
	is.NoErr(pass(endless, endlessServer, make([]byte, 9_000)))
	is.NoErr(pass(good, goodServer, frame))
	is.NoErr(pass(endless, endlessServer, make([]byte, 990)))
	_ = pass(endless, endlessServer, make([]byte, 100))
	is.True(pass(endless, endlessServer, make([]byte, 1)) != nil)
	is.NoErr(pass(good, goodServer, frame))
}

// Guards against sums that drift from what they count, over any course of connections.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{Connections: 5, PendingBytes: 10_000}
		l := Listen(&pipeListener{}, Options{Port: "test", Limits: limits, Logger: logr.Discard(), Scope: tally.NoopScope})
		var all []*Conn
		closed := make(map[*Conn]bool)
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(rt, "dial") == 0 {
				client, server := net.Pipe()
				defer client.Close()
				c := &Conn{Conn: server, listener: l, since: time.Now()}
				if l.add(c) {
					all = append(all, c)
				}
				continue
			}
			c := all[rapid.IntRange(0, len(all)-1).Draw(rt, "connection")]
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				l.charge(c, rapid.Int64Range(1, 20_000).Draw(rt, "bytes"))
			case 1:
				l.progress(c, state(rapid.IntRange(0, int(stateServing)).Draw(rt, "state")))
			case 2:
				_ = c.Close()
				closed[c] = true
			}
			sum := int64(0)
			for c := range l.conns {
				sum += c.pending
			}
			ending := int64(0)
			for _, c := range all {
				if c.isEvicted && !closed[c] {
					ending += c.pending
				}
			}
			if l.endingBytes != ending {
				rt.Fatalf("connections with %d bytes end, counted %d", ending, l.endingBytes)
			}
			if l.pending != sum || sum > limits.PendingBytes || len(l.conns) > limits.Connections {
				rt.Fatalf("%d connections open, %d bytes pending, counted %d", len(l.conns), sum, l.pending)
			}
		}
	})
}

// Guards against limits that small or unknown machines make useless, and against listeners that
// together may use all descriptors.
func TestBudgetOfMachines(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{500, 3075, 10_250} {
		for _, megabytes := range []int64{112, 536} {
			b := NewBudget(megabytes<<20, descriptors)
			is.True(b.Callers.Connections+b.Peers.Connections+2*b.Probes.Connections <= (descriptors-reservedDescriptors)*3/4)
			is.True(b.Callers.Connections >= 100)
			is.True(int64(b.Callers.Connections)*connectionBytes <= megabytes<<20/4)
		}
	}
	is.Equal(NewBudget(0, 0), NewBudget(112<<20, 3075))
	is.Equal(NewBudget(1, 1).Probes.Connections, minConnections)
}
