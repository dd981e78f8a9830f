package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// post begins a request with an announced length and sends the beginning of its body.
func (s *fixture) post(path string, length int, body string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: held\r\nContent-Length: %d\r\n\r\n%s", path, length, body); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// A body that never ends held its connection and its memory until the caller left.
func TestBodyThatDoesNotEndIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	c := s.post("/brief/x", 10, "hello")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.Equal(len(r.Runs()), 0)
}

// The limit on the time for the body must end with it: an answer that takes longer than the rest of
// that time would be cut.
func TestTimeForTheBodyDoesNotCutTheAnswer(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	server := httptest.NewUnstartedServer(s.gateway)
	server.Config.ReadTimeout = 200 * time.Millisecond
	server.Start()
	s.server.Close()
	s.server = server
	s.add(app, replica.Options{ID: "r", Work: 400 * time.Millisecond})
	a := s.mustSend(request{path: lookup, id: "a", body: "hello"})
	is.Equal(a.status, http.StatusOK)
}

// Bodies that never end took the memory for all bodies, and every other request was refused for as
// long as they were held.
func TestHeldBodiesLeaveRoomForShortOnes(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "r"})
	const held, size = 60, 1 << 20
	refused := make(chan struct{}, held)
	for range held {
		c := s.post(lookup, size, strings.Repeat("x", size-1))
		go func() {
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && response.StatusCode == http.StatusServiceUnavailable {
				refused <- struct{}{}
			}
		}()
	}
	<-refused // the memory for bodies is in use
	is.Equal(s.mustSend(request{path: lookup, id: "a", body: "hello"}).status, http.StatusOK)
}

// The end of a body without a length may come alone, and its last byte at the limit.
func TestBodyOfTheLongestLengthIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	for i, excess := range []int{0, 1} {
		body := strings.Repeat("x", 1<<20+excess)
		for _, announced := range []bool{true, false} {
			id := fmt.Sprintf("%d-%v", i, announced)
			var reader io.Reader = strings.NewReader(body)
			if !announced {
				reader = io.MultiReader(reader)
			}
			q, err := http.NewRequest(http.MethodPost, s.server.URL+lookup, reader)
			is.NoErr(err)
			q.Host = "a.example"
			q.Header.Set("Request-Id", id)
			response, err := http.DefaultClient.Do(q)
			is.NoErr(err)
			_ = response.Body.Close()
			if excess > 0 {
				is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
				continue
			}
			is.Equal(response.StatusCode, http.StatusOK)
			runs := r.Runs()
			is.Equal(len(runs[len(runs)-1].Body), len(body))
		}
	}
}
