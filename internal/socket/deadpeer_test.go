package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// options returns the options of a connection that decide when a silent peer is given up: the
// time for sent data to be acknowledged, the idle time before the first probe, the interval of
// probes, and their number.
func options(t *testing.T, c net.Conn) (ack, idle, interval time.Duration, probes int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[int]int)
	if err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			if values[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				t.Error(err)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	seconds := func(option int) time.Duration { return time.Duration(values[option]) * time.Second }
	return time.Duration(values[unix.TCP_USER_TIMEOUT]) * time.Millisecond, seconds(unix.TCP_KEEPIDLE), seconds(unix.TCP_KEEPINTVL), values[unix.TCP_KEEPCNT]
}

// The library replaced the options for probes by its own when a connection was established, so
// that one that waited for an answer outlived its peer by minutes. The time for
// acknowledgements also ends probing, and was shorter than the probes need: a sound peer that was
// silent for little more than a second lost its connections.
func TestSilentPeerIsGivenUpAfterAllProbes(t *testing.T) {
	is := is.New(t)
	config := ListenConfig()
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	dialer := Dialer(time.Second)
	dialled, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	for _, c := range []net.Conn{dialled, <-accepted} {
		ack, idle, interval, probes := options(t, c)
		_ = c.Close()
		is.Equal(idle, keepAliveIdle)
		is.Equal(interval, keepAliveInterval)
		is.Equal(probes, keepAliveProbes)
		is.Equal(ack, idle+time.Duration(probes)*interval)
		is.True(ack >= 2*time.Second) // a sound peer may be silent for a second or so
		is.True(ack <= 3*time.Second) // callers wait for about as long
	}
}

// isGivenUp follows the kernel: a connection without traffic is probed after keepAliveIdle and then
// each keepAliveInterval. It fails at the first of these times at which nothing has arrived for
// ackTimeout and a probe is unanswered. The peer is silent for a time that begins a while after it
// last sent something, and answers probes otherwise.
func isGivenUp(begins, silence time.Duration) bool {
	unanswered := 0
	for at := keepAliveIdle; ; at += keepAliveInterval {
		switch {
		case at >= ackTimeout && unanswered > 0:
			return true
		case at >= begins && at < begins+silence:
			unanswered++
		default:
			return false
		}
	}
}

// A single probe that was lost ended connections to sound peers that worked on a long request.
func TestShortSilenceEndsNoConnection(t *testing.T) {
	is := is.New(t)
	const step = 10 * time.Millisecond
	for begins := time.Duration(0); begins < 5*time.Second; begins += step {
		for silence := step; silence <= time.Second; silence += step {
			is.True(!isGivenUp(begins, silence))
		}
	}
	is.True(isGivenUp(0, time.Hour))
}

// Megabytes of an answer without end waited in the kernel for a caller that read slowly.
func TestReceiveBufferIsBounded(t *testing.T) {
	is := is.New(t)
	config := ListenConfig()
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	const bytes = 32 << 10
	dialer := WithReceiveBuffer(Dialer(time.Second), bytes)
	c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var size int
	is.NoErr(raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size <= 2*bytes) // the kernel adds as much for its own records
	ack, _, _, _ := options(t, c)
	is.Equal(ack, ackTimeout)
}
