package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/occupancy"
	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/replica"
)

// meteredPlace permits a number of requests to each target and counts those asked for.
type meteredPlace struct {
	fleet func() *fleet.Fleet

	mu    sync.Mutex
	left  map[string]int
	asked int
	// changed are the targets whose limits have changed.
	changed []string
}

// denialTime is how long a target is kept back after it was denied.
const denialTime = 400 * time.Millisecond

func (p *meteredPlace) Permit(_ context.Context, target string, _ int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	left, isLimited := p.left[target]
	if isLimited && left == 0 {
		p.fleet().Deny(target, time.Now().Add(denialTime))
		return false
	}
	if isLimited {
		p.left[target]--
	}
	return true
}

func (p *meteredPlace) Place(ctx context.Context, r gateway.PlaceRequest) gateway.Place {
	for i, m := range r.Candidates {
		if p.Permit(ctx, m.ID, r.Level) {
			return gateway.Place{Index: i, Finish: func(occupancy.Result) {}}
		}
	}
	return gateway.Place{IsDenied: true}
}

func (p *meteredPlace) LimitChanged(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = append(p.changed, target)
}

func newMeteredFixture(t *testing.T, left map[string]int) (*fixture, *meteredPlace) {
	t.Helper()
	p := &meteredPlace{left: left}
	s := newFixtureWithPlacement(t, p)
	p.fleet = func() *fleet.Fleet { return s.fleet }
	return s, p
}

// limitedRequests are requests of each kind of route.
var limitedRequests = map[string]request{
	"lookup":  {path: lookup},
	"posting": {method: http.MethodPost, path: posting, body: "x"},
	"turn":    {method: http.MethodPost, path: turns, body: "x", header: turnHeader("p")},
}

// Requests of all kinds go to targets whose rate limits leave room.
func TestRequestsGoWhereRateLimitsLeaveRoom(t *testing.T) {
	for name, r := range limitedRequests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			left := make(map[string]int)
			s, _ := newMeteredFixture(t, left)
			for n := range 9 {
				for _, service := range []string{app, models} {
					id := service + strconv.Itoa(n)
					s.add(service, replica.Options{ID: id, Events: 2})
					s.replicas[id].NameLimit("1")
					left[id] = 0
				}
			}
			s.add(app, replica.Options{ID: "free-app"})
			s.add(models, replica.Options{ID: "free-models", Events: 2})
			for n := range 12 {
				r.id = strconv.Itoa(n)
				is.Equal(s.mustSend(r).status, http.StatusOK)
			}
			for id := range left {
				is.Equal(len(s.replicas[id].Arrivals()), 0)
			}
		})
	}
}

// A request that no rate limit leaves room for is refused at once and does not run. The
// caller is told when to come back, which follows from the limits.
func TestRequestWithoutRoomUnderRateLimitsIsRefusedAtOnce(t *testing.T) {
	for name, r := range limitedRequests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newMeteredFixture(t, map[string]int{"a": 0, "b": 0, "ma": 0, "mb": 0})
			for _, id := range []string{"a", "b"} {
				s.add(app, replica.Options{ID: id})
				s.add(models, replica.Options{ID: "m" + id, Events: 2})
			}
			r.id = "refused"
			begun := time.Now()
			a := s.mustSend(r)
			is.True(time.Since(begun) < denialTime/2)
			is.Equal(a.status, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 0.3*denialTime.Seconds() && seconds <= 2*denialTime.Seconds())
			is.Equal(s.runsOf("refused"), 0)
			for _, r := range s.replicas {
				is.Equal(len(r.Arrivals()), 0)
			}
		})
	}
}

// What counts is what a target gets: a request that is sent again on a new connection
// needs another permission.
func TestRequestThatIsSentAgainCountsAgain(t *testing.T) {
	is := is.New(t)
	s, p := newMeteredFixture(t, map[string]int{"r": 2})
	r := s.add(app, replica.Options{ID: "r"})
	is.Equal(s.mustSend(request{path: lookup, id: "first"}).status, http.StatusOK)
	r.Fail(replica.Lost)
	// The reused connection fails, and no permission is left for another transmission.
	is.Equal(s.mustSend(request{path: lookup, id: "second"}).status, http.StatusBadGateway)
	is.Equal(len(r.Arrivals()), 2)
	is.Equal(p.asked, 3)
}

// Limits are learned from answers of all kinds, refusals too, and end with the first answer
// to a later request that names none. Text that is no limit changes nothing.
func TestRateLimitsAreLearnedFromAnswers(t *testing.T) {
	is := is.New(t)
	s, p := newMeteredFixture(t, nil)
	r := s.add(app, replica.Options{ID: "r"})
	send := func(limit string) float64 {
		r.NameLimit(limit)
		s.mustSend(request{path: lookup, id: "id" + limit})
		if l := s.fleet.Limit("r"); l.IsLimited {
			return l.Rate
		}
		return -1
	}
	for _, garbage := range []string{"", "-3", "NaN", "Inf", "1e400", "many", "1,5", " "} {
		is.Equal(send(garbage), -1.0)
	}
	is.Equal(send("2.5"), 2.5)
	for _, garbage := range []string{"-3", "NaN", "Inf", "1e400", "many"} {
		is.Equal(send(garbage), 2.5)
	}
	is.Equal(send("1.5"), 1.5)
	is.Equal(send("0"), 0.0)
	is.Equal(send(" 7 "), 7.0)
	is.Equal(send(""), -1.0)
	r.Fail(replica.Full)
	is.Equal(send("3"), 3.0)
	r.Fail(replica.Failing)
	is.Equal(send("4"), 4.0)
	is.Equal(len(p.changed), 3) // it began, ended and began again
}

// A target that names another limit in each answer made its hosts tell the coordinator with
// each of them.
func TestCoordinatorIsToldWhenALimitBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	s, p := newMeteredFixture(t, nil)
	r := s.add(app, replica.Options{ID: "r"})
	for n := range 20 {
		r.NameLimit(strconv.Itoa(n + 1))
		s.mustSend(request{path: lookup, id: strconv.Itoa(n)})
	}
	is.Equal(len(p.changed), 1)
	r.NameLimit("")
	s.mustSend(request{path: lookup, id: "end"})
	is.Equal(len(p.changed), 2)
}
