package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/replica"
)

// A turn that begins with a part of its most tokens waits for the rest in the middle of its answer. Each
// event has 14 tokens.
func TestTurnWaitsForTheRestOfItsTokens(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	m := s.add(models, replica.Options{ID: "m1", Events: 10})
	s.budgets.part, s.budgets.late = 70, 2
	a := s.mustSend(request{method: http.MethodPost, path: conversationTurn, id: "a", body: "x", header: turnHeader("p")})
	is.NoErr(a.err)
	is.Equal(a.body, events(1, 10))
	is.Equal(len(m.Runs()), 1)
	is.Equal(s.budgets.late, 0)
	spent, open := s.budgets.state()
	is.Equal(spent, int64(140))
	is.Equal(open, 0)
}

// The answer is cut before the first event for which nothing is reserved.
func TestTurnWithoutTheRestOfItsTokensIsCut(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m1", Events: 10})
	s.budgets.part = 70
	s.budgets.further = &gateway.BudgetSpentError{Program: "p", Budget: 1000}
	a := s.mustSend(request{method: http.MethodPost, path: conversationTurn, id: "a", body: "x", header: turnHeader("p")})
	is.True(a.err != nil)
	is.Equal(a.body, events(1, 5))
	spent, open := s.budgets.state()
	is.Equal(spent, int64(70))
	is.Equal(open, 0)
}

// A turn with all of its tokens may exceed them by its last event, as before.
func TestTurnWithAllItsTokensIsNotHeldUp(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	s.add(models, replica.Options{ID: "m1", Events: 3})
	s.budgets.further = &gateway.BudgetSpentError{Program: "p", Budget: 1000}
	header := turnHeader("p")
	header.Set("Tokens", "500,40")
	a := s.mustSend(request{method: http.MethodPost, path: conversationTurn, id: "a", body: "x", header: header})
	is.NoErr(a.err)
	is.Equal(a.body, events(1, 3))
	spent, _ := s.budgets.state()
	is.Equal(spent, int64(42))
}
