package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"yuccausher/internal/core/poison"
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
		s.eventually("crash is confirmed", func() bool { return len(s.quarantine.Unshared()) == n+1 })
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
	is.Equal(ran, 3)
}

// A target that ends silently keeps its connections open, so that its callers leave or
// run out of time before anything breaks off. Content that ended it was not counted.
func TestSilentEndsAreCounted(t *testing.T) {
	for name, ask := range map[string]func(*site, string){
		"the caller leaves": func(s *site, id string) {
			ctx, cancel := context.WithTimeout(s.t.Context(), 800*time.Millisecond)
			defer cancel()
			_, _ = s.try(ctx, request{method: http.MethodPost, path: posting, id: id, body: "deadly"})
		},
		"its time is up": func(s *site, id string) {
			s.do(request{method: http.MethodPost, path: posting, id: id, body: "deadly", header: http.Header{"Deadline": {"800"}}})
		},
		"a turn falls silent": func(s *site, id string) {
			ctx, cancel := context.WithTimeout(s.t.Context(), 800*time.Millisecond)
			defer cancel()
			_, _ = s.try(ctx, request{method: http.MethodPost, path: single, id: id, body: "deadly", header: turnHeader("p")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			ran := 0
			for n := range 5 {
				var rs []*replica.Replica
				for _, service := range []string{app, models} {
					r := s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 3})
					r.Fail(replica.Vanishing)
					rs = append(rs, r)
				}
				ask(s, fmt.Sprint("request", n))
				time.Sleep(300 * time.Millisecond)
				for _, r := range rs {
					ran += len(r.Runs())
					s.fleet.Remove(r.ID())
				}
			}
			is.Equal(ran, 3)
		})
	}
}

// A silent target is left for another. Content that silenced it was not counted.
func TestTargetsThatAreLeftAsSilentAreCounted(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for n := range 6 {
		s.add(app, replica.Options{ID: fmt.Sprint("r", n)}).FailAlways(replica.Vanishing)
	}
	ran := func() int {
		n := 0
		for _, r := range s.replicas {
			n += len(r.Runs())
		}
		return n
	}
	for n := range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		_, _ = s.try(ctx, request{path: "/prompt/x", id: fmt.Sprint("request", n)})
		cancel()
		time.Sleep(300 * time.Millisecond)
	}
	is.True(ran() <= 4) // two targets a request
}

// A failure that a target answers with does not show that content is harmless: the
// target may not have run it.
func TestFailureClearsNoContent(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	crash := func(n int) {
		r := s.add(app, replica.Options{ID: fmt.Sprint("r", n)})
		r.Fail(replica.Crashing)
		s.do(request{method: http.MethodPost, path: posting, id: fmt.Sprint("crash", n), body: "deadly"})
		s.eventually("crash is confirmed", func() bool { return len(s.quarantine.Unshared()) == n })
		s.fleet.Remove(r.ID())
	}
	crash(1)
	crash(2)
	failing := s.add(app, replica.Options{ID: "failing"})
	failing.Fail(replica.Failing)
	is.Equal(s.do(request{method: http.MethodPost, path: posting, id: "failed", body: "deadly"}).status, http.StatusInternalServerError)
	s.fleet.Remove(failing.ID())
	crash(3)
	s.add(app, replica.Options{ID: "last"})
	is.Equal(s.do(request{method: http.MethodPost, path: posting, id: "last", body: "deadly"}).status, http.StatusServiceUnavailable)
}

// A request that waits for a target as its content is quarantined is not sent any more.
func TestWaitingRequestIsNotSentOnceItsContentIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	r := s.add(app, replica.Options{ID: "r"})
	r.FailAlways(replica.Full)
	answered := make(chan answer)
	go func() {
		a, err := s.try(t.Context(), request{method: http.MethodPost, path: posting, id: "a", body: "deadly"})
		if err != nil {
			a.err = err
		}
		answered <- a
	}()
	time.Sleep(200 * time.Millisecond)
	s.learnCrashes(3, http.MethodPost, posting, "deadly")
	r.FailAlways(replica.None)
	a := <-answered
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(len(r.Runs()), 0)
}

// The crash that completes the count stops its own request, whose targets have ended
// and would not count as attempts.
func TestThirdCrashStopsItsOwnRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for n := range 4 {
		s.add(app, replica.Options{ID: fmt.Sprint("r", n)}).FailAlways(replica.Crashing)
	}
	s.learnCrashes(2, http.MethodGet, lookup, "")
	is.Equal(s.do(request{path: lookup, id: "a"}).status, http.StatusBadGateway)
	is.Equal(s.runsOf("a"), 1)
}

// learnCrashes makes another host tell of crashes under a content.
func (s *site) learnCrashes(count int, method, path, body string) {
	s.t.Helper()
	f := fingerprintOf(method, path, body)
	for n := range count {
		s.quarantine.Receive("other", []poison.Mark{{Fingerprint: f, Target: fmt.Sprint("elsewhere", n), At: time.Now().UnixNano()}})
	}
}

// fingerprintOf is the fingerprint of a request outside of programs.
func fingerprintOf(method, path, body string) uint64 {
	return xxhash.Sum64String(method + "\x00a.example\x00" + path + "\x00" + body)
}

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("not in time: " + what)
		}
	}
}
