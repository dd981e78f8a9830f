package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/core/reach"
	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/replica"
)

// lastPlace places each request at the last candidate and records how it ended.
type lastPlace struct {
	mu      sync.Mutex
	results []occupancy.Result
	// chosen are the targets of the requests.
	chosen []string
}

func (p *lastPlace) Place(_ context.Context, r gateway.PlaceRequest) gateway.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(r.Candidates) - 1
	p.chosen = append(p.chosen, r.Candidates[last].ID)
	return gateway.Place{Index: last, Finish: func(r occupancy.Result) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results = append(p.results, r)
	}}
}

func (p *lastPlace) ended() []occupancy.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.results
}

func TestRequestsWithAPromptGoWhereTheyArePlaced(t *testing.T) {
	is := is.New(t)
	placement := &lastPlace{}
	s := newFixtureWithPlacement(t, placement)
	for _, id := range []string{"m1", "m2", "m3"} {
		s.add(models, replica.Options{ID: id, Events: 2})
	}
	s.add(app, replica.Options{ID: "app"})
	for i := range 6 {
		s.mustSend(request{method: http.MethodPost, path: turns, id: string(rune('a' + i)), header: turnHeader("p")})
	}
	s.mustSend(request{path: lookup, id: "x"})
	is.Equal(len(placement.chosen), 6) // calls of services are not placed
	for _, id := range placement.chosen {
		is.Equal(id, placement.chosen[0])
	}
	is.Equal(len(s.replicas[placement.chosen[0]].Runs()), 6)
}

// Each placed request ends once, whatever becomes of it, and tells what it says of its
// target.
func TestEachPlaceEndsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fault replica.Fault
		want  occupancy.Result
	}{
		"answered": {replica.None, occupancy.Answered},
		"failing":  {replica.Failing, occupancy.Failed},
		"cut":      {replica.Cut, occupancy.Failed},
		"lost":     {replica.Lost, occupancy.Failed},
		"garbled":  {replica.Garbled, occupancy.Failed},
		"full":     {replica.Full, occupancy.Inconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			placement := &lastPlace{}
			s := newFixtureWithPlacement(t, placement)
			s.add(models, replica.Options{ID: "m1", Events: 5}).FailAlways(c.fault)
			_, _ = s.send(t.Context(), request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
			waitFor(t, func() bool { return len(placement.ended()) == len(placement.chosen) })
			for _, got := range placement.ended() {
				is.Equal(got, c.want)
			}
			is.True(len(placement.ended()) > 0)
		})
	}
}

// A caller that leaves in the middle of a stream says nothing about the target.
func TestPlaceEndsWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	placement := &lastPlace{}
	s := newFixtureWithPlacement(t, placement)
	s.add(models, replica.Options{ID: "m1", Events: 50, Pause: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = s.send(ctx, request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
	waitFor(t, func() bool { return len(placement.ended()) == 1 })
	is.Equal(placement.ended()[0], occupancy.Inconclusive)
}

func (p *lastPlace) Permit(context.Context, string, int) bool { return true }

func (p *lastPlace) LimitChanged(string) {}

// A host without a path to its targets reported failures of all of them, so that other hosts
// preferred others.
func TestHostWithoutAPathReportsNoFailures(t *testing.T) {
	for name, fault := range map[string]replica.Fault{"cut": replica.Cut, "lost": replica.Lost} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			placement := &lastPlace{}
			s := newFixtureWithPlacement(t, placement)
			s.add(models, replica.Options{ID: "m1", Events: 5}).FailAlways(fault)
			s.path.set(reach.Refused)
			_, _ = s.send(t.Context(), request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
			waitFor(t, func() bool { return len(placement.ended()) > 0 })
			is.Equal(placement.ended()[0], occupancy.Inconclusive)
		})
	}
}
