package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

func TestStreamIsRelayedToItsEnd(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m1", Events: 5})
	a := s.mustSend(request{method: http.MethodPost, path: turns, id: "a", header: turnHeader("p")})
	is.Equal(a.status, http.StatusOK)
	is.NoErr(a.err)
	is.Equal(a.body, events(1, 5))
	spent, open := s.budgets.state()
	is.Equal(spent, int64(5*14))
	waitFor(t, func() bool { _, open = s.budgets.state(); return open == 0 })
}

func TestEventsAreRelayedAsTheyArrive(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m1", Events: 2, Pause: time.Hour})
	response := s.sendRaw("POST " + turns + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\nAccept: text/event-stream\r\nContent-Length: 0\r\n\r\n")
	first := make([]byte, len(events(1, 1)))
	_, err := response.Body.Read(first)
	is.NoErr(err)
	is.Equal(string(first), events(1, 1))
	s.replicas["m1"].Close()
}

// An interrupted stream continues at another target within the same answer if the route
// allows two attempts.
func TestInterruptedStreamIsResumed(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for _, id := range []string{"m1", "m2"} {
		s.add(models, replica.Options{ID: id, Events: 9, Work: 30 * time.Millisecond})
	}
	resumed := 0
	for i := range 16 {
		for _, r := range s.replicas {
			r.FailAlways(replica.None)
		}
		s.replicas["m1"].FailAlways(replica.Cut)
		id := string(rune('a' + i))
		a := s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: turnHeader("p" + id)})
		is.NoErr(a.err)
		is.Equal(a.body, events(1, 9))
		is.Equal(a.header.Get("Server-Stamp"), "stamp-"+id)
		if s.runsOf(id) > 1 {
			resumed++
		}
	}
	is.True(resumed > 0)
}

// If the route allows one attempt only, the caller detects the interruption and can
// resume the stream itself.
func TestInterruptedStreamIsVisibleToTheCaller(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m1", Events: 9}).FailAlways(replica.Cut)
	s.add(models, replica.Options{ID: "m2", Events: 9}).FailAlways(replica.Cut)
	a := s.mustSend(request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
	is.True(a.err != nil)
	is.Equal(s.runsOf("a"), 1)
	is.Equal(a.body, events(1, 5))
	for _, r := range s.replicas {
		r.FailAlways(replica.None)
	}
	h := turnHeader("p")
	h.Set("Last-Event-Id", "5")
	a = s.mustSend(request{method: http.MethodPost, path: single, id: "b", header: h})
	is.NoErr(a.err)
	is.Equal(a.body, events(6, 9))
}

// An interrupted stream goes to another target, which answers with a failure. The body of
// the failure is not the rest of the stream, and the answer must not look complete.
func TestFailureOfASecondTargetDoesNotEndTheStream(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for _, id := range []string{"m1", "m2"} {
		s.add(models, replica.Options{ID: id, Events: 9, Work: 30 * time.Millisecond})
	}
	s.replicas["m1"].FailAlways(replica.Cut)
	s.replicas["m2"].FailAlways(replica.Failing)
	interrupted := 0
	for i := range 16 {
		id := string(rune('a' + i))
		a := s.mustSend(request{method: http.MethodPost, path: turns, id: id, header: turnHeader("p" + id)})
		if a.status != http.StatusOK {
			continue
		}
		interrupted++
		is.True(a.err != nil)
		is.Equal(a.body, events(1, 5))
	}
	is.True(interrupted > 0)
}

func TestStreamThatNeverBeganIsAFailure(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Lost, replica.Reset, replica.Garbled} {
		is := is.New(t)
		s := newFixture(t)
		s.add(models, replica.Options{ID: "m1", Events: 9}).FailAlways(fault)
		a := s.mustSend(request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
		is.Equal(a.status, http.StatusBadGateway)
		is.Equal(s.runsOf("a"), 1)
	}
}

func TestProgramKeepsItsTarget(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		s.add(models, replica.Options{ID: id, Events: 1})
	}
	for i := range 12 {
		s.mustSend(request{method: http.MethodPost, path: turns, id: string(rune('a' + i)), header: turnHeader("p")})
	}
	used := 0
	for _, r := range s.replicas {
		if len(r.Runs()) > 0 {
			used++
		}
	}
	is.Equal(used, 1)
}
