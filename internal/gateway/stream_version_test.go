package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
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

// takeUp takes a stream up after its fifth event.
func (s *fixture) takeUp(id string) answer {
	s.t.Helper()
	header := turnHeader("p")
	header.Set("Resumes", "first")
	header.Set("Last-Event-Id", "5")
	return s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: header})
}

// A host that had stood still took its old view for a silent store, did not read the targets, and sent
// a stream to a target that had started again with another version.
func TestHostThatStoodStillReadsTheTargetsBeforeATakeUp(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.viewAge = 5 * time.Second
	r := s.add(models, replica.Options{ID: "m", Events: 9})
	s.refreshTargets = func(context.Context) error {
		s.fleet.Put(fleet.Member{ID: "m", Service: models, Address: r.Address(), DataCentre: "here", Version: "v2", StartedAt: 2, Slots: 8})
		return nil
	}
	is.Equal(s.takeUp("second").status, http.StatusServiceUnavailable)
	is.Equal(s.runsOf("second"), 0)
}

// A host that can't read the targets sent streams to targets that may have started again with another
// version. The first take-up waits for them, the next ones are refused at once.
func TestTakeUpIsRefusedWhileTheTargetsCanNotBeRead(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m", Events: 9})
	reads := 0
	s.refreshTargets = func(ctx context.Context) error {
		reads++
		<-ctx.Done()
		return ctx.Err()
	}
	for _, id := range []string{"second", "third"} {
		a := s.takeUp(id)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(a.header.Get("Retry-After") != "")
		is.Equal(s.runsOf(id), 0)
	}
	is.Equal(reads, 1)
}
