package socket

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection that reports resets.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err = DialReportingResets(Dialer(time.Second))(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = c.Close()
	})
	return near, c.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// writeUntilFailure writes until the connection fails and returns its error.
func writeUntilFailure(t *testing.T, c net.Conn) error {
	t.Helper()
	is.New(t).NoErr(c.SetWriteDeadline(time.Now().Add(10 * time.Second)))
	for {
		if _, err := io.WriteString(c, "upload"); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// A reset that a write had met looked to the reader like the end of the answer.
func TestReadReturnsTheResetThatAWriteHasMet(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	send(t, far, "part")
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	is.True(errors.Is(writeUntilFailure(t, near), unix.ECONNRESET))
	received, err := io.ReadAll(near)
	is.Equal(string(received), "part")
	is.True(errors.Is(err, unix.ECONNRESET))
}

// A peer that has ended its side in order has completed its answer, also if it then closes the
// connection before it has read all of the request.
func TestEndBeforeAResetIsAnEnd(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	send(t, far, "whole")
	is.NoErr(far.CloseWrite())
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	is.True(errors.Is(writeUntilFailure(t, near), unix.EPIPE))
	received, err := io.ReadAll(near)
	is.Equal(string(received), "whole")
	is.NoErr(err)
}

// Writes that wait for the peer end with the deadline, and the reader is told of its own only.
func TestWriteEndsWithItsDeadline(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	is.NoErr(near.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err := io.WriteString(near, strings.Repeat("x", 32<<20))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
	send(t, far, "answer")
	is.NoErr(far.CloseWrite())
	received, err := io.ReadAll(near)
	is.Equal(string(received), "answer")
	is.NoErr(err)
}
