package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/targetload"
	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/replica"
)

// observingPlace also records samples of targets.
type observingPlace struct {
	lastPlace
	samples []targetload.Sample
}

func (p *observingPlace) Place(ctx context.Context, r gateway.PlaceRequest) gateway.Place {
	place := p.lastPlace.Place(ctx, r)
	place.Observe = func(s targetload.Sample) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.samples = append(p.samples, s)
	}
	return place
}

func (p *observingPlace) observed() []targetload.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.samples
}

// A complete stream shows the gaps between its events; short and interrupted ones show nothing,
// and a refusal is told as such.
func TestStreamsShowTheSpeedOfTheirTarget(t *testing.T) {
	const pause = 10 * time.Millisecond
	for name, c := range map[string]struct {
		fault   replica.Fault
		events  int
		samples int
	}{
		"complete": {replica.None, 20, 1},
		"short":    {replica.None, targetload.MinEvents - 1, 0},
		"cut":      {replica.Cut, 20, 0},
		"failing":  {replica.Failing, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			placement := &observingPlace{}
			s := newFixtureWithPlacement(t, placement)
			s.add(models, replica.Options{ID: "m1", Events: c.events, Pause: pause}).FailAlways(c.fault)
			_, _ = s.send(t.Context(), request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
			waitFor(t, func() bool { return len(placement.ended()) > 0 })
			is.Equal(len(placement.observed()), c.samples)
			for _, got := range placement.observed() {
				is.Equal(got.Events, c.events)
				is.True(got.Gap >= pause*9/10)
				is.True(got.First > 0)
			}
		})
	}
	t.Run("full", func(t *testing.T) {
		is := is.New(t)
		placement := &observingPlace{}
		s := newFixtureWithPlacement(t, placement)
		s.add(models, replica.Options{ID: "m1", Events: 5}).FailAlways(replica.Full)
		_, _ = s.send(t.Context(), request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
		waitFor(t, func() bool { return len(placement.observed()) > 0 })
		is.Equal(placement.observed()[0], targetload.Sample{IsRefused: true})
	})
}
