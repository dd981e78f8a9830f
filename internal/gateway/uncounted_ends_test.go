package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/standin/replica"
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
