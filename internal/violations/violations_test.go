package violations

import (
	"context"
	encoding "encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of clients. It is above the descriptors that the host may use.
	crowd = 400
	// fullCrowd is the number of clients that a host with fullDescriptors meets.
	fullCrowd = 2000
	// rounds is how many connections each client opens, one after the other. It leaves all open.
	rounds = 2
	// endlessBytes is what a client sends of something without end, on one connection. It is above
	// all limits of the test's configuration.
	endlessBytes = 1 << 20
	// writePatience bounds the time for which a client sends on one connection that the host does
	// not read.
	writePatience = 2 * time.Second
	// slowBytes and slowPause are the bytes that a client sends one at a time, and the time between
	// two of them.
	slowBytes = 100
	slowPause = 10 * time.Millisecond
	// aheadRequests is how many requests are sent without reading the answers.
	aheadRequests = 400
)

// attack is what a client does on one connection. It returns when it has nothing more to send or
// the host has closed the connection, which stays open on the client's side.
type attack func(c net.Conn, path string)

const (
	postLine    = "POST %s HTTP/1.1\r\nHost: test.example\r\nRequest-Id: a\r\nDeadline: 5000\r\n"
	chunkedHead = postLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// heldBody is a body without its last byte.
var heldBody = strings.Repeat("x", bodyBytes-1)

// endless sends head and then unit until it has sent endlessBytes.
func endless(head, unit string) attack {
	data := []byte(strings.Repeat(unit, 1+(16<<10)/len(unit)))
	return func(c net.Conn, path string) {
		if strings.Contains(head, "%s") {
			_, _ = fmt.Fprintf(c, head, path)
		} else {
			_, _ = io.WriteString(c, head)
		}
		for sent := 0; sent < endlessBytes; sent += len(data) {
			if _, err := c.Write(data); err != nil {
				return
			}
		}
	}
}

// oneByOne sends the first bytes of text one at a time.
func oneByOne(head, text string) attack {
	return func(c net.Conn, path string) {
		if head != "" {
			_, _ = fmt.Fprintf(c, head, path)
		}
		for i := range min(len(text), slowBytes) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(slowPause)
		}
	}
}

// play lets the crowd loose on each port of a host of its own, and checks what must hold whatever
// the machine's speed: the process lives, its memory and descriptors stay within its limits, and
// ordinary requests are answered while the crowd's connections are still open.
func play(t *testing.T, a attack) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, name := range []string{"callers", "ready", "metrics", "peers"} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, maxDescriptors)
			address, path := h.callers, "/lookup/x"
			switch name {
			case "ready":
				address, path = h.ready, "/api/ready"
			case "metrics":
				address, path = h.metrics, "/metrics"
			case "peers":
				address, path = h.peers, "/"
			}
			playAt(t, h, crowd, address, path, a)
		})
	}
}

// playAt lets a number of clients loose on one port.
func playAt(t *testing.T, h *host, clients int, address, path string, a attack) {
	t.Helper()
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { h.watch(stop) })
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() {
			for range rounds {
				dialer := net.Dialer{Timeout: writePatience}
				c, err := dialer.DialContext(context.Background(), "tcp", address)
				if err != nil {
					continue
				}
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetWriteDeadline(time.Now().Add(writePatience))
				a(c, path)
			}
		})
	}
	sending.Wait()
	h.checkAnswers()
	close(stop)
	watching.Wait()
	if h.hasEnded() {
		t.Errorf("the process ended: %v", h.process.ProcessState)
		return
	}
	peak := h.peakMemory()
	t.Logf("peaks: %d MB, %d descriptors", peak>>20, h.descriptors)
	if peak > hostMegabytes<<20 {
		t.Errorf("the process used %d MB of %d", peak>>20, hostMegabytes)
	}
	if h.descriptors > h.maxDescriptors-reservedDescriptors {
		t.Errorf("the process had %d descriptors open of %d", h.descriptors, h.maxDescriptors-reservedDescriptors)
	}
}

// Guards against heads that are kept without a bound: a request line without end.
func TestEndlessRequestLine(t *testing.T) { play(t, endless("GET /", "x")) }

// Guards against heads of many short fields, each of which takes far more memory than bytes.
func TestEndlessHeaderLines(t *testing.T) { play(t, endless(postLine, "a:b\r\n")) }

// Guards against the name of a field without end.
func TestEndlessHeaderName(t *testing.T) { play(t, endless(postLine+"X", "x")) }

// Guards against the value of a field without end.
func TestEndlessHeaderValue(t *testing.T) { play(t, endless(postLine+"X: ", "x")) }

// Guards against heads that are over the limit by little and complete.
func TestHeadOverTheLimit(t *testing.T) {
	fields := strings.Repeat("X-Field: "+strings.Repeat("x", 100)+"\r\n", 1+headerBytes/100)
	play(t, func(c net.Conn, path string) { _, _ = fmt.Fprintf(c, postLine+fields+"\r\n", path) })
}

// Guards against incomplete heads within the limit that are held open.
func TestHeldHeads(t *testing.T) {
	fields := strings.Repeat("X: y\r\n", 400)
	play(t, func(c net.Conn, path string) { _, _ = fmt.Fprintf(c, postLine+fields, path) })
}

// Guards against empty lines before a request, which are no request and have no end.
func TestEndlessEmptyLines(t *testing.T) { play(t, endless("", "\r\n")) }

// Guards against empty lines between requests on a connection that has made a POST, after which
// some are allowed.
func TestEndlessEmptyLinesAfterPost(t *testing.T) {
	play(t, endless(postLine+"Content-Length: 5\r\n\r\nhello", "\r\n"))
}

// Guards against heads that arrive one byte at a time.
func TestHeadOneByteAtATime(t *testing.T) {
	play(t, oneByOne("", "POST /lookup/x HTTP/1.1\r\nHost: test.example\r\nX: "+strings.Repeat("x", slowBytes)))
}

// Guards against bodies that arrive one byte at a time.
func TestBodyOneByteAtATime(t *testing.T) {
	play(t, oneByOne(postLine+"Content-Length: 200000\r\n\r\n", strings.Repeat("x", slowBytes)))
}

// Guards against bodies within the limit whose last byte never comes.
func TestHeldBodies(t *testing.T) { play(t, holdBody) }

// Guards against the same on a host whose descriptors allow more connections, each with a part of a
// body, than its memory.
func TestHeldBodiesAtFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	h := startHost(t, fullDescriptors)
	playAt(t, h, fullCrowd, h.callers, "/lookup/x", holdBody)
}

func holdBody(c net.Conn, path string) {
	_, _ = fmt.Fprintf(c, postLine+"Content-Length: %d\r\n\r\n%s", path, bodyBytes, heldBody)
}

// Guards against an extension of a chunk without end.
func TestEndlessChunkExtension(t *testing.T) { play(t, endless(chunkedHead+"1;x=", "x")) }

// Guards against chunks of one byte, each with a long extension.
func TestEndlessExtendedChunks(t *testing.T) {
	play(t, endless(chunkedHead, "1;x="+strings.Repeat("x", 200)+"\r\nx\r\n"))
}

// Guards against trailers without end.
func TestEndlessTrailers(t *testing.T) {
	play(t, endless(chunkedHead+"1\r\nx\r\n0\r\n", "a: b\r\n"))
}

// Guards against bodies over the limit whose length is announced.
func TestBodyOverTheLimitWithLength(t *testing.T) {
	play(t, endless(postLine+fmt.Sprintf("Content-Length: %d\r\n\r\n", endlessBytes), "x"))
}

// Guards against bodies over the limit without a length.
func TestBodyOverTheLimitWithoutLength(t *testing.T) {
	play(t, endless(chunkedHead, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n"))
}

// Guards against idle connections that take all descriptors.
func TestIdleConnections(t *testing.T) { play(t, func(net.Conn, string) {}) }

// Guards against requests sent ahead whose answers nobody reads, which block the host's writes.
func TestRequestsAheadWithoutReading(t *testing.T) {
	play(t, func(c net.Conn, path string) {
		text := strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: test.example\r\nRequest-Id: a\r\nDeadline: 5000\r\n\r\n", path), aheadRequests)
		_, _ = io.WriteString(c, text)
	})
}

// Guards against connections whose clients close their sending side, in a head or in a body.
func TestHalfClosedConnections(t *testing.T) {
	play(t, func(c net.Conn, path string) {
		_, _ = fmt.Fprintf(c, postLine+"Content-Length: 200000\r\n\r\nhello", path)
		_ = c.(*net.TCPConn).CloseWrite()
	})
}

// endlessMessage is a frame of drpc that announces four times endlessBytes, and these.
func endlessMessage() attack {
	// Kind and flags, stream, message and length, all numbers of variable length.
	const kindMessage = 2 << 1
	return endless(string(append([]byte{kindMessage, 1, 1}, encoding.AppendUvarint(nil, 4*endlessBytes)...)), "x")
}

// Guards against messages between hosts that are announced, sent in part, and never end.
func TestEndlessMessageBetweenHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	h := startHost(t, maxDescriptors)
	playAt(t, h, crowd, h.peers, "", endlessMessage())
}

// Guards against the same from a crowd whose messages come faster than the memory of closed
// connections becomes free.
func TestEndlessMessageBetweenHostsAtFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	h := startHost(t, fullDescriptors)
	playAt(t, h, fullCrowd, h.peers, "", endlessMessage())
}
