package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// runsUntilQuarantined sends a content to eight targets, one after the other, that end
// when they run it, and returns how many ran it.
func runsUntilQuarantined(t *testing.T, death replica.Fault, r request) int {
	t.Helper()
	s := newFixture(t)
	ran := 0
	for n := range 8 {
		var targets []*replica.Replica
		for _, service := range []string{app, models} {
			target := s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 3})
			target.FailAlways(death)
			targets = append(targets, target)
		}
		r.id, r.body = fmt.Sprint("request", n), "deadly"
		s.mustSend(r)
		time.Sleep(300 * time.Millisecond)
		for _, target := range targets {
			ran += len(target.Runs())
			s.fleet.Remove(target.ID())
		}
	}
	return ran
}

// A target that is killed in the middle of an answer without a length closes its
// connection, so that the answer looks complete. Such crashes were not counted.
func TestCrashesInsideUnframedAnswersAreCounted(t *testing.T) {
	for name, r := range map[string]request{
		"posting": {method: http.MethodPost, path: posting},
		"lookup":  {method: http.MethodPost, path: lookup},
		"stream":  {method: http.MethodPost, path: single, header: turnHeader("p")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(runsUntilQuarantined(t, replica.CrashingUnframed, r), 3)
		})
	}
}

// A crash in the middle of an answer whose beginning the caller already had was not
// counted.
func TestCrashesInsideLargeAnswersAreCounted(t *testing.T) {
	for _, path := range []string{posting, lookup} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(runsUntilQuarantined(t, replica.CrashingLarge, request{method: http.MethodPost, path: path}), 3)
		})
	}
}

// The end of an unframed answer does not show that the target has completed it.
func TestUnframedAnswerDoesNotClearContent(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.reportCrashes(2, http.MethodPost, posting, "deadly")
	unframed := s.add(app, replica.Options{ID: "unframed"})
	unframed.Fail(replica.Unframed)
	r := request{method: http.MethodPost, path: posting, id: "unframed", body: "deadly"}
	a := s.mustSend(r)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "answer to unframed")
	s.fleet.Remove("unframed")
	s.add(app, replica.Options{ID: "third"}).Fail(replica.Crashing)
	r.id = "third"
	is.Equal(s.mustSend(r).status, http.StatusBadGateway)
	s.eventually("crash is confirmed", func() bool { return s.contentMarks() == 1 })
	s.fleet.Remove("third")
	s.add(app, replica.Options{ID: "last"})
	r.id = "last"
	is.Equal(s.mustSend(r).status, http.StatusServiceUnavailable)
}

// Targets that live after unframed answers leave no marks on their contents.
func TestUnframedAnswersOfLivingTargetsLeaveNoMarks(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "r"}).FailAlways(replica.Unframed)
	for n := range 6 {
		id := fmt.Sprint("request", n)
		a := s.mustSend(request{method: http.MethodPost, path: posting, id: id, body: "harmless"})
		is.NoErr(a.err)
		is.Equal(a.body, "answer to "+id)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(s.contentMarks(), 0)
}

// A part of an answer was delivered as if it were complete if its target was killed in the
// middle of it.
func TestUnframedAnswerOfCrashedTargetIsNotComplete(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	crash := func(id string, services ...string) {
		for _, service := range services {
			s.add(service, replica.Options{ID: id + service, Events: 3}).FailAlways(replica.CrashingUnframed)
		}
	}
	crash("a", app)
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "posting", body: "1"}).status, http.StatusBadGateway)
	crash("b", models)
	a := s.mustSend(request{method: http.MethodPost, path: conversationTurn, id: "turn", body: "2", header: turnHeader("p")})
	is.Equal(a.status, http.StatusOK)
	is.True(a.err != nil)

	crash("d", app, models)
	for _, service := range []string{app, models} {
		s.add(service, replica.Options{ID: "alive" + service, Events: 3})
		s.fleet.Remove("a" + service)
		s.fleet.Remove("b" + service)
	}
	is.Equal(s.mustSend(request{path: lookup, id: "lookup"}).body, "answer to lookup")
	is.Equal(len(s.replicas["dapp"].Runs()), 1)
	for n := 0; len(s.replicas["dmodels"].Runs()) == 0; n++ {
		// Some programs prefer the target that crashes.
		id := fmt.Sprint("resumed", n)
		h := turnHeader(id)
		h.Set("Tokens", "20000,280") // a prompt that is dear to read elsewhere
		a = s.mustSend(request{method: http.MethodPost, path: turns, id: id, body: id, header: h})
		is.NoErr(a.err)
		is.Equal(a.body, events(1, 3))
	}
}

// A target that is leaving may end right after an unframed answer.
func TestUnframedAnswerOfLeavingTargetIsComplete(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "r"}).Fail(replica.LeavingUnframed)
	a := s.mustSend(request{method: http.MethodPost, path: posting, id: "a", body: "1"})
	is.Equal(a.status, http.StatusOK)
	is.NoErr(a.err)
	is.Equal(a.body, "answer to a")
}
