package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/standin/replica"
	"yuccausher/internal/upstream"
)

// A host that opened no new connections did not count targets that ended as they ran content, and
// one request was sent to all of them.
func TestEndsAreCountedWhereNewConnectionsAreRefused(t *testing.T) {
	const targets = 12
	for name, path := range map[string]string{"lookup": lookup, "posting": posting} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			s.path.set(reach.Refused)
			for n := range targets {
				s.add(app, replica.Options{ID: fmt.Sprint("r", n)}).FailAlways(replica.Crashing)
			}
			for n := range targets {
				s.mustSend(request{method: http.MethodPost, path: path, id: fmt.Sprint("request", n), body: "deadly"})
				time.Sleep(100 * time.Millisecond)
			}
			ran := 0
			for _, r := range s.replicas {
				ran += len(r.Runs())
			}
			is.Equal(ran, 3)
		})
	}
}

// Each run without an answer was taken out of the attempts of a request while its host opened no new
// connections, though nothing had ended.
func TestAttemptsAreLimitedWhereNewConnectionsAreRefused(t *testing.T) {
	for _, state := range []reach.State{reach.Connected, reach.Refused} {
		for name, fault := range map[string]replica.Fault{"lost": replica.Lost, "garbled": replica.Garbled, "cut": replica.Cut} {
			for _, path := range []string{lookup, turns} {
				t.Run(fmt.Sprint(state, " ", name, path), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newFixture(t)
					s.path.set(state)
					for _, service := range []string{app, models} {
						for n := range 8 {
							s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 4}).FailAlways(fault)
						}
					}
					_, err := s.send(t.Context(), request{method: http.MethodPost, path: path, id: "a", header: turnHeader("p")})
					is.NoErr(err)
					const attempts = 2 // of both routes
					is.True(s.runsOf("a") <= attempts)
				})
			}
		}
	}
}

// The end of a target at the moment at which its host lost its path was forgotten.
func TestEndAtALostPathIsCounted(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "r"})
	r.Fail(replica.Vanishing)
	answered := make(chan answer)
	go func() {
		answered <- s.mustSend(request{method: http.MethodPost, path: posting, id: "a", body: "deadly", header: http.Header{"Deadline": {"800"}}})
	}()
	s.eventually("target runs it", func() bool { return len(r.Runs()) == 1 })
	s.path.set(reach.CutOff)
	is.Equal((<-answered).status, http.StatusGatewayTimeout)
	s.eventually("crash is counted", func() bool { return s.contentMarks() == 1 })
}

// inconclusive is the probe of a host that reaches no target.
func inconclusive(context.Context, upstream.Target) error {
	return &quarantine.InconclusiveError{Cause: errors.New("refused")}
}

// A host that opens no new connections, and knows no other host that can tell whether a target has
// crashed, sent the same content to one target after another on open connections.
func TestUnexplainedEndIsNotRepeated(t *testing.T) {
	for name, path := range map[string]string{"lookup": lookup, "posting": posting, "stream": turns} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			s.path.set(reach.Refused)
			s.probe = inconclusive
			for n := range 6 {
				for _, service := range []string{app, models} {
					s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 3, Deadly: "deadly"})
				}
			}
			runs := func() (n int) {
				for _, r := range s.replicas {
					n += len(r.Runs())
				}
				return n
			}
			for n := range 6 {
				a, err := s.send(t.Context(), request{method: http.MethodPost, path: path, id: fmt.Sprint("deadly", n), body: "deadly", header: turnHeader("p")})
				is.NoErr(err)
				if n > 0 {
					is.Equal(a.status, http.StatusServiceUnavailable)
					is.True(a.header.Get("Retry-After") != "")
				}
				time.Sleep(100 * time.Millisecond) // longer than until the probe
			}
			is.True(runs() <= 2) // the attempts of one request
			is.Equal(s.mustSend(request{method: http.MethodPost, path: path, id: "other", body: "harmless", header: turnHeader("q")}).status, http.StatusOK)
		})
	}
}

// Content whose answer was lost runs again once its target has answered other requests, though
// its host opens no new connections.
func TestAnswerSettlesAnInterruption(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.path.set(reach.Refused)
	s.probe = inconclusive
	s.add(app, replica.Options{ID: "r"}).Fail(replica.Lost)
	send := func(id, body string) int {
		return s.mustSend(request{method: http.MethodPost, path: posting, id: id, body: body}).status
	}
	is.Equal(send("lost", "pay"), http.StatusBadGateway)
	time.Sleep(100 * time.Millisecond) // longer than until the probe
	is.Equal(send("again", "pay"), http.StatusServiceUnavailable)
	is.Equal(send("other", "another"), http.StatusOK)
	is.Equal(send("once more", "pay"), http.StatusOK)
}

// A host whose path was lost, by connections that were reset, knows for a second only that it opens no
// new ones. Its requests counted the targets that were out of reach as attempts and ended.
func TestRequestWhoseConnectionEndedWithThePathGoesOn(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "first", Events: 3}).Fail(replica.Reset)
	s.path.set(reach.Refused)
	s.probe = inconclusive
	a := s.mustSend(request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")}) // one attempt
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(len(s.others.offered), 1) // passed on, though nobody took it
	is.Equal(s.others.offered[0].Attempts, 0)
}
