package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A target in trouble answers with a status that HTTP does not have. It used to be taken for an interim
// answer: the caller waited until its deadline, and what followed was taken for the answer.
func TestStatusThatNoAnswerHasIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 None", "012 Odd", "099 Odd", "+20 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.add(app, replica.Options{ID: "app"}).AnswerStatus(status)
			s.add(models, replica.Options{ID: "models"}).AnswerStatus(status)
			for name, path := range map[string]string{"posting": posting, "lookup": lookup, "stream": turns, "single": single, "talk": conversationTurn} {
				is := is.New(t)
				// Well before the deadline of the routes.
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				a, err := s.send(ctx, request{method: http.MethodPost, path: path, id: name, header: turnHeader("p" + name)})
				is.NoErr(err)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.header.Get("Server-Stamp"), "")
				is.Equal(s.runsOf(name), 1)
			}
		})
	}
}

// An idempotent request goes to another target, and one that must not run twice does not.
func TestRequestIsRepeatedAfterAnOddStatus(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(app, replica.Options{ID: "odd", Work: time.Millisecond}).AnswerStatus("000 None")
	s.add(app, replica.Options{ID: "sound", Work: time.Millisecond})
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		a := s.mustSend(request{path: lookup, id: id})
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, "answer to "+id)
		s.mustSend(request{method: http.MethodPost, path: posting, id: "p" + id})
		is.Equal(s.runsOf("p"+id), 1)
	}
}

// Interim answers are skipped, and the statuses at the ends of the range passed on.
func TestOtherStatusesAreStillPassedOn(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r := s.add(app, replica.Options{ID: "app"})
	r.AnswerInterim("100 Continue", "103 Early Hints")
	a := s.mustSend(request{path: lookup, id: "a"})
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, "answer to a")
	r.AnswerInterim()
	for _, status := range []string{"299 Own", "399 Own", "499 Own", "599 Own"} {
		r.AnswerStatus(status)
		a := s.mustSend(request{method: http.MethodPost, path: posting, id: status[:3]})
		is.Equal(a.header.Get("Server-Stamp"), "stamp-"+status[:3])
		is.True(a.status >= 299)
	}
}
