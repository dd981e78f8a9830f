package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A target that is killed in the middle of an answer without a length closes its
// connection, so that the answer looks complete. Such crashes were not counted.
func TestCrashesInsideUnframedAnswersAreCounted(t *testing.T) {
	for name, r := range map[string]request{
		"posting": {method: http.MethodPost, path: posting, body: "deadly"},
		"lookup":  {method: http.MethodPost, path: lookup, body: "deadly"},
		"stream":  {method: http.MethodPost, path: single, body: "deadly", header: turnHeader("p")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t)
			ran := 0
			for n := range 8 {
				var targets []*replica.Replica
				for _, service := range []string{app, models} {
					target := s.add(service, replica.Options{ID: fmt.Sprint(service, n), Events: 3})
					target.FailAlways(replica.CrashingUnframed)
					targets = append(targets, target)
				}
				r.id = fmt.Sprint("request", n)
				s.mustSend(r)
				time.Sleep(300 * time.Millisecond)
				for _, target := range targets {
					ran += len(target.Runs())
					s.fleet.Remove(target.ID())
				}
			}
			is.Equal(ran, 3)
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
	s.eventually("crash is confirmed", func() bool { return len(s.quarantine.Unshared()) == 1 })
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
	is.Equal(len(s.quarantine.Unshared()), 0)
}
