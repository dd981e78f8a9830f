package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
)

// stopFixture is a host that is about to stop.
type stopFixture struct {
	t       *testing.T
	host    *Front
	options Options
	target  *replica.Replica
}

func newStopFixture(t *testing.T, work, stopTime time.Duration) *stopFixture {
	t.Helper()
	store := metastore.New()
	r, err := replica.Listen("127.0.0.1:0", replica.Options{ID: "t1", Work: work})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	store.Put("keyed.op", "config", []byte(configuration))
	store.Put("keyed.servers", "t1", fmt.Appendf(nil, `{"service":"app","addr":%q,"zone":"here","slots":8,"state":"ready"}`, r.Address()))
	f, o := startHostWith(t, store, func(o *Options) { o.StopTime = stopTime })
	awaitStatus(t, "http://"+o.ReadyAddress+"/api/ready", "", http.StatusOK)
	return &stopFixture{t: t, host: f, options: o, target: r}
}

// connect opens a connection on which nothing is sent yet.
func (s *stopFixture) connect() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.options.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends a request on a connection and returns its answer; nil if the connection ends
// without one.
func (s *stopFixture) send(c net.Conn, path, id string) *http.Response {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id); err != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Log(id, err)
		return nil
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return nil
	}
	return response
}

// A request came late in a planned stop, on a connection that was opened before, while another
// request was still in progress. It was read, and its connection closed without an answer, or it was
// passed on and cut at the end of the stop.
func TestLateRequestInAPlannedStopIsRefused(t *testing.T) {
	is := is.New(t)
	s := newStopFixture(t, time.Second, 4*time.Second)
	posting, lookup := s.connect(), s.connect()
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.host.Stop(context.Background()) }()
	time.Sleep(2 * time.Second)
	earlier := make(chan *http.Response, 1)
	go func() { earlier <- s.send(s.connect(), "/posting/x", "earlier") }()
	time.Sleep(rotationDelay - 2*time.Second + 300*time.Millisecond)
	for c, path := range map[net.Conn]string{posting: "/posting/x", lookup: "/lookup/x"} {
		started := time.Now()
		answer := s.send(c, path, "late-"+path)
		is.True(answer != nil)
		is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
		is.True(answer.Header.Get("Retry-After") != "")
		is.True(answer.Close)
		is.True(time.Since(started) < 500*time.Millisecond)
	}
	is.NoErr(<-stopped)
	is.Equal((<-earlier).StatusCode, http.StatusOK)
	is.Equal(len(s.target.Runs()), 1)
}

// A request that is still under way at the end of a planned stop gets a final answer. Its connection
// was closed without one.
func TestRequestAtTheEndOfAPlannedStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newStopFixture(t, 20*time.Second, 3*time.Second)
	answers := make(chan *http.Response, 1)
	c := s.connect()
	go func() { answers <- s.send(c, "/posting/x", "long") }()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	is.NoErr(s.host.Stop(context.Background()))
	is.True(time.Since(started) < s.options.StopTime)
	answer := <-answers
	is.True(answer != nil)
	is.Equal(answer.StatusCode, http.StatusGatewayTimeout)
}

// A connection on which nothing has been sent kept a stopping host up, which would have dropped a
// request that came on it after reading it.
func TestUnusedConnectionDoesNotDelayAPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newStopFixture(t, time.Millisecond, 8*time.Second)
	c := s.connect()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	is.NoErr(s.host.Stop(context.Background()))
	is.True(time.Since(started) < rotationDelay+time.Second)
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
}

// Requests came on open connections in the very moment in which the drain ended. They were passed
// on, and their connections closed without an answer.
func TestRequestAtTheEndOfTheDrainIsNotCut(t *testing.T) {
	for step := range 16 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStopFixture(t, 30*time.Millisecond, 8*time.Second)
			c := s.connect()
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- s.host.Stop(context.Background()) }()
			time.Sleep(rotationDelay + settleTime + time.Duration(3*step-20)*time.Millisecond)
			answer := s.send(c, "/posting/x", "crossing")
			is.NoErr(<-stopped)
			is.True(answer != nil || len(s.target.Runs()) == 0)
		})
	}
}
