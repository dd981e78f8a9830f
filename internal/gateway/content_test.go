package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// Content that crashes each target that runs it is refused after the third crash,
// also when it comes as another request, and runs no more. Other content runs.
func TestContentThatCrashesTargetsIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	const crashes = 3
	for n := range crashes {
		r := s.add(app, replica.Options{ID: fmt.Sprint("r", n)})
		r.Fail(replica.Crashing)
		a := s.do(request{method: http.MethodPost, path: posting, id: fmt.Sprint("crash", n), body: "deadly"})
		is.Equal(a.status, http.StatusBadGateway)
		s.eventually("crash is confirmed", func() bool { return len(s.quarantine.Marks()) == n+1 })
		s.fleet.Remove(r.ID())
	}
	last := s.add(app, replica.Options{ID: "last"})
	for _, r := range []request{
		{method: http.MethodPost, path: posting, id: "again", body: "deadly"},
		{method: http.MethodPost, path: posting, id: "once more", body: "deadly"},
	} {
		a := s.do(r)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.header.Get("Retry-After"), "")
	}
	is.Equal(s.do(request{method: http.MethodPost, path: posting, id: "other", body: "harmless"}).status, http.StatusOK)
	is.Equal(len(last.Runs()), 1)
}

// A request that may be repeated goes to no further target once its content is in
// quarantine.
func TestQuarantinedContentIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		s.add(app, replica.Options{ID: id}).Fail(replica.Crashing)
	}
	for n := range ids {
		s.do(request{path: lookup, id: fmt.Sprint("request", n)})
		time.Sleep(200 * time.Millisecond)
	}
	ran := 0
	for _, r := range s.replicas {
		ran += len(r.Runs())
	}
	// The second request is repeated at a fourth target before the crash of the
	// third one is confirmed.
	is.True(ran <= 4)
}

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("not in time: " + what)
		}
	}
}
