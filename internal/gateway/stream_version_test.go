package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/replica"
)

// addVersion starts a target with a software version.
func (s *fixture) addVersion(version string, o replica.Options) *replica.Replica {
	s.t.Helper()
	r := s.add(models, o)
	for _, m := range s.fleet.Members() {
		if m.ID == o.ID {
			m.Version = version
			s.fleet.Remove(m.ID)
			s.fleet.Put(m)
		}
	}
	return r
}

// A host goes on by itself with a stream that broke off. It did so at any target, so that one
// answer held events of two software versions.
func TestInterruptedStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for name, hasOther := range map[string]bool{"another target of the version": true, "no other": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			begun := 0
			for i := range 16 {
				for _, r := range s.replicas {
					s.fleet.Remove(r.ID())
				}
				cut := s.addVersion("v1", replica.Options{ID: fmt.Sprint("cut", i), Events: 9, Work: 5 * time.Millisecond})
				cut.FailAlways(replica.Cut)
				other := s.addVersion("v2", replica.Options{ID: fmt.Sprint("other", i), Events: 9})
				if hasOther {
					s.addVersion("v1", replica.Options{ID: fmt.Sprint("same", i), Events: 9})
				}
				id := fmt.Sprint("stream", i)
				a := s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: turnHeader("p" + id)})
				if len(cut.Runs()) == 0 {
					continue // the stream began at another target
				}
				begun++
				is.Equal(len(other.Runs()), 0)
				if hasOther {
					is.NoErr(a.err)
					is.Equal(a.body, events(1, 9))
					continue
				}
				is.True(a.err != nil)
				is.Equal(a.body, events(1, 5))
			}
			is.True(begun > 0)
		})
	}
}

// A stream whose origin was known not to be found waited for the targets to be read all the same.
func TestStreamOfUnknownOriginDoesNotWaitForTargets(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{Events: 9})
	s.origins.unknown = &gateway.UnknownOriginError{RetryAfter: time.Second, Cause: errors.New("no record")}
	ended := make(chan error, 1)
	s.refreshTargets = func(ctx context.Context) error {
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	}
	header := turnHeader("p")
	header.Set("Resumes", "first")
	header.Set("Last-Event-Id", "5")
	a := s.mustSend(request{method: http.MethodPost, path: turns, id: "second", header: header})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(<-ended, context.Canceled) // and not at its own timeout
}

// A stream whose targets all have a release that other hosts can't know of yet is refused at once.
func TestStreamOfAnUnannouncedReleaseIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m", Events: 3})
	s.origins.unrecorded = &gateway.UnannouncedReleaseError{Cause: errors.New("store is silent")}
	a := s.mustSend(request{method: http.MethodPost, path: turns, id: "a", header: turnHeader("p")})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(s.runsOf("a"), 0)
	s.origins.unrecorded = nil
	is.Equal(s.mustSend(request{method: http.MethodPost, path: turns, id: "b", header: turnHeader("p")}).status, http.StatusOK)
}
