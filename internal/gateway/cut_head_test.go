package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A target stops in the middle of its answer's head and closes the connection in order. Callers
// of other systems got a 200 with an empty body that looked complete. The length is cut at each byte;
// whatever was read of the head, the answer is not passed on.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for name, path := range map[string]string{"posting": posting, "lookup": lookup, "stream": turns, "single stream": single} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newFixture(t)
			service := app
			if path == turns || path == single {
				service = models
			}
			r := s.add(service, replica.Options{ID: "cut"})
			for n := range len(replica.Head("r000")) {
				r.CutHeads(n)
				id := fmt.Sprintf("r%03d", n)
				a := s.mustSend(request{method: http.MethodPost, path: path, id: id, header: turnHeader("p" + id)})
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(s.runsOf(id), 1)
			}
		})
	}
}

// An idempotent request goes to another target after a head that broke off.
func TestRequestIsRepeatedAfterAHeadThatBrokeOff(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "cut", Work: time.Millisecond}).CutHeads(60)
	s.add(app, replica.Options{ID: "sound", Work: time.Millisecond})
	for i := range 8 {
		id := fmt.Sprint("r", i)
		a := s.mustSend(request{path: lookup, id: id})
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, "answer to "+id)
	}
}
