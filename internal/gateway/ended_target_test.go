package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/replica"
)

// A stream on a route with one attempt continues at another target if the one that ran
// it has ended, before the first event or after some.
func TestStreamContinuesAfterItsTargetHasEnded(t *testing.T) {
	for name, work := range map[string]time.Duration{"before the first event": time.Second, "midway": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			first := s.add(models, replica.Options{ID: "first", Work: work, Events: 6, Pause: 100 * time.Millisecond})
			answered := make(chan answer)
			go func() {
				a, err := s.send(t.Context(), request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")})
				if err != nil {
					a.err = err
				}
				answered <- a
			}()
			s.eventually("the first target runs it", func() bool { return len(first.Runs()) == 1 })
			s.add(models, replica.Options{ID: "second", Events: 6})
			time.AfterFunc(250*time.Millisecond, first.Close)
			a := <-answered
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, events(1, 6))
			is.Equal(s.runsOf("a"), 2)
			spent, open := s.budgets.state()
			is.Equal(spent, int64(6*14))
			is.Equal(open, 0)
		})
	}
}

// A failure at a target that is still alive counts as an attempt. A request that must not
// run twice is not sent again even if its target has ended.
func TestAttemptLimitHoldsWhileTargetsAreAlive(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	for _, id := range []string{"m1", "m2"} {
		s.add(models, replica.Options{ID: id, Events: 3}).FailAlways(replica.Reset)
	}
	is.Equal(s.mustSend(request{method: http.MethodPost, path: single, id: "a", header: turnHeader("p")}).status, http.StatusBadGateway)
	is.Equal(s.runsOf("a"), 1)
	for _, id := range []string{"a1", "a2"} {
		s.add(app, replica.Options{ID: id}).FailAlways(replica.Crashing)
	}
	is.Equal(s.mustSend(request{method: http.MethodPost, path: posting, id: "b", body: "pay"}).status, http.StatusBadGateway)
	is.Equal(s.runsOf("b"), 1)
}
