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

// Content that crashes every target that runs it is refused after the third crash, also
// in requests with another ID, and no longer runs. Other content still runs.
func TestContentThatCrashesTargetsIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	const crashes = 3
	for n := range crashes {
		r := s.add(app, replica.Options{ID: fmt.Sprint("r", n)})
		r.Fail(replica.Crashing)
		a := s.mustSend(request{method: http.MethodPost, path: posting, id: fmt.Sprint("crash", n), body: "deadly"})
		is.Equal(a.status, http.StatusBadGateway)
		s.eventually("crash is confirmed", func() bool { return s.contentMarks() == n+1 })
		s.fleet.Remove(r.ID())
	}
	last := s.add(app, replica.Options{ID: "last"})
	for _, r := range []request{
		{method: http.MethodPost, path: posting, id: "again", body: "deadly"},
		{method: http.MethodPost, path: posting, id: "once more", body: "deadly"},
	} {
		a := s.mustSend(r)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.header.Get("Retry-After"), "")
	}
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "other", body: "harmless"}).status, http.StatusOK)
	is.Equal(len(last.Runs()), 1)
}

// An idempotent request is not sent to further targets once its content is in
// quarantine.
func TestQuarantinedContentIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		s.add(app, replica.Options{ID: id}).Fail(replica.Crashing)
	}
	for n := range ids {
		s.mustSend(request{path: lookup, id: fmt.Sprint("request", n)})
		time.Sleep(200 * time.Millisecond)
	}
	ran := 0
	for _, r := range s.replicas {
		ran += len(r.Runs())
	}
	is.Equal(ran, 3)
}

// The connections of a target that ends silently stay open, so that the caller
// disconnects or the time limit expires before a connection fails. Such crashes were not
// counted against the content.
func TestSilentCrashesAreCounted(t *testing.T) {
	for name, send := range map[string]func(*fixture, string){
		"caller disconnects": func(s *fixture, id string) {
			ctx, cancel := context.WithTimeout(s.t.Context(), 800*time.Millisecond)
			defer cancel()
			_, _ = s.send(ctx, request{method: http.MethodPost, path: posting, id: id, body: "deadly"})
		},
		"time limit expires": func(s *fixture, id string) {
			s.mustSend(request{method: http.MethodPost, path: posting, id: id, body: "deadly", header: http.Header{"Deadline": {"800"}}})
		},
		"stream is silent": func(s *fixture, id string) {
			ctx, cancel := context.WithTimeout(s.t.Context(), 800*time.Millisecond)
			defer cancel()
			_, _ = s.send(ctx, request{method: http.MethodPost, path: single, id: id, body: "deadly", header: turnHeader("p")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t)
			ran := 0
			for n := range 5 {
				var rs []*replica.Replica
				for _, service := range []string{app, models} {
					r := s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 3})
					r.Fail(replica.Vanishing)
					rs = append(rs, r)
				}
				send(s, fmt.Sprint("request", n))
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

// A request at a silent target is cancelled and sent to another one. If the content had
// crashed the silent target, this was not counted.
func TestCrashesOfTargetsAbandonedAsSilentAreCounted(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
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
		_, _ = s.send(ctx, request{path: "/prompt/x", id: fmt.Sprint("request", n)})
		cancel()
		time.Sleep(300 * time.Millisecond)
	}
	is.True(ran() <= 4) // two targets per request
}

// An error answer does not show that content is harmless, because the target may not
// have run it.
func TestErrorAnswerDoesNotClearContent(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	crash := func(n int) {
		r := s.add(app, replica.Options{ID: fmt.Sprint("r", n)})
		r.Fail(replica.Crashing)
		s.mustSend(request{method: http.MethodPost, path: posting, id: fmt.Sprint("crash", n), body: "deadly"})
		s.eventually("crash is confirmed", func() bool { return s.contentMarks() == n })
		s.fleet.Remove(r.ID())
	}
	crash(1)
	crash(2)
	failing := s.add(app, replica.Options{ID: "failing"})
	failing.Fail(replica.Failing)
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "failed", body: "deadly"}).status, http.StatusInternalServerError)
	s.fleet.Remove(failing.ID())
	crash(3)
	s.add(app, replica.Options{ID: "last"})
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "last", body: "deadly"}).status, http.StatusServiceUnavailable)
}

// A request that waits for a target while its content is quarantined must not be sent
// afterwards.
func TestWaitingRequestIsNotSentOnceItsContentIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	r.FailAlways(replica.Full)
	answered := make(chan answer)
	go func() {
		a, err := s.send(t.Context(), request{method: http.MethodPost, path: posting, id: "a", body: "deadly"})
		if err != nil {
			a.err = err
		}
		answered <- a
	}()
	time.Sleep(200 * time.Millisecond)
	s.reportCrashes(3, http.MethodPost, posting, "deadly")
	// An attempt that is on its way is refused. The next one would find room.
	free := s.add(app, replica.Options{ID: "free"})
	a := <-answered
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(len(r.Runs())+len(free.Runs()), 0)
}

// The crash that quarantines the content also stops the request that caused it. Without
// this the request would continue, since crashed targets don't count as attempts.
func TestThirdCrashStopsItsOwnRequest(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for n := range 4 {
		s.add(app, replica.Options{ID: fmt.Sprint("r", n)}).FailAlways(replica.Crashing)
	}
	s.reportCrashes(2, http.MethodGet, lookup, "")
	is.Equal(s.mustSend(request{path: lookup, id: "a"}).status, http.StatusBadGateway)
	is.Equal(s.runsOf("a"), 1)
}

// reportCrashes reports crashes caused by a content as if by another host.
func (s *fixture) reportCrashes(count int, method, path, body string) {
	s.t.Helper()
	f := fingerprintOf(method, path, body)
	for n := range count {
		s.quarantine.Receive("other", []poison.Mark{{Fingerprint: f, Target: fmt.Sprint("elsewhere", n), At: time.Now().UnixNano()}})
	}
}

// fingerprintOf returns the fingerprint of a request that belongs to no program.
func fingerprintOf(method, path, body string) uint64 {
	return xxhash.Sum64String(method + "\x00a.example\x00" + path + "\x00" + body)
}

func (s *fixture) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("condition not met in time: " + what)
		}
	}
}
