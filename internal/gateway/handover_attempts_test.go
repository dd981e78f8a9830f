package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/replica"
)

// A request that was passed on began its attempts anew, so that it ran at more targets than its
// route allows.
func TestRequestThatIsPassedOnKeepsItsAttempts(t *testing.T) {
	const attempts = 2 // of the route
	for used := range attempts {
		is := is.New(t)
		s := newFixture(t)
		for _, id := range []string{"r1", "r2", "r3"} {
			s.add(app, replica.Options{ID: id}).FailAlways(replica.Lost)
		}
		r := httptest.NewRequest(http.MethodGet, lookup, nil)
		r.Host = "a.example"
		r.Header.Set("Request-Id", "a")
		s.gateway.ServeHandover(httptest.NewRecorder(), r, port.HandoverSender{Host: "b", Attempts: used})
		is.Equal(s.runsOf("a"), attempts-used)
	}
}

// A host tells the next one how many targets have run a request.
func TestHostThatPassesARequestOnTellsItsAttempts(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "kept"})
	s.mustSend(request{path: lookup, id: "first"}) // opens a connection
	s.replicas["kept"].FailAlways(replica.Lost)
	s.add(app, replica.Options{ID: "gone"}).Close()
	s.path.set(reach.Refused)
	s.mustSend(request{path: lookup, id: "a"})
	ran := s.runsOf("a")
	is.Equal(len(s.others.offered), 1)
	is.Equal(s.others.offered[0].Attempts, ran)
}
