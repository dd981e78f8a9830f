package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/reach"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/replica"
)

// quotas counts requests of organisations. The zero value admits all.
type quotas struct {
	mu sync.Mutex
	// most is the number of requests that are admitted; zero means no limit.
	most, counted int
	limits        []gateway.OrganisationLimit
}

func (q *quotas) Admit(_ context.Context, organisation string, limit gateway.OrganisationLimit) (gateway.Admission, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = append(q.limits, limit)
	if q.most > 0 && len(q.limits) > q.most {
		return nil, &gateway.QuotaExceededError{Organisation: organisation, RetryAfter: 250 * time.Millisecond}
	}
	q.counted++
	return q, nil
}

func (q *quotas) Cancel() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counted--
}

func (q *quotas) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counted
}

// withLimit applies a configuration with one organisation that has a limit.
func (s *fixture) withLimit() *fixture {
	limited := member("a", keyA)
	limited.RatePerSecond, limited.Burst = 3, 4
	return s.withOrganisations(limited)
}

// A request over the limit must be refused at once, with the time at which there is room, and reach no
// target. Requests on public routes belong to no organisation.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withLimit()
	s.quotas.most = 1
	r := s.add(app, replica.Options{ID: "r"})
	is.Equal(s.mustSend(request{path: lookup, id: "x", header: bearer(keyA)}).status, http.StatusOK)
	refused := s.mustSend(request{path: lookup, id: "x", header: bearer(keyA)})
	is.Equal(refused.status, http.StatusTooManyRequests)
	is.Equal(refused.header.Get("Retry-After"), "0.250")
	is.Equal(len(r.Runs()), 1)
	is.Equal(s.mustSend(request{path: public, id: "x"}).status, http.StatusOK)
	is.Equal(s.quotas.limits, []gateway.OrganisationLimit{{PerSecond: 3, Burst: 4, Version: 2}, {PerSecond: 3, Burst: 4, Version: 2}})
	s.eventually("served request is counted", func() bool { return s.quotas.count() == 1 })
}

// A request that the system refuses must not be charged: callers would lose their limit to a shortage of
// targets.
func TestRefusedRequestsAreNotCharged(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withLimit()
	for _, state := range []reach.State{reach.Connected, reach.CutOff} {
		s.path.set(state)
		is.Equal(s.mustSend(request{path: lookup, id: "x", header: bearer(keyA)}).status, http.StatusServiceUnavailable)
	}
	is.Equal(len(s.quotas.limits), 2)
	s.eventually("counts are taken back", func() bool { return s.quotas.count() == 0 })
}

// A request that was handed over must be counted by the host that it came to, and not again by the one that
// takes it. A host of the earlier build has not counted it.
func TestRequestsHandedOverAreCountedOnce(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).withLimit()
	s.add(app, replica.Options{ID: "r"})
	for _, isIdentified := range []bool{true, false} {
		r := httptest.NewRequest(http.MethodGet, lookup, nil)
		r.Host = "a.example"
		r.Header = bearer(keyA)
		r.Header.Set("Request-Id", "x")
		w := httptest.NewRecorder()
		s.gateway.ServeHandover(w, r, port.HandoverSender{Host: "other", IsIdentified: isIdentified, Organisation: "a"})
		is.Equal(w.Code, http.StatusOK)
	}
	is.Equal(s.quotas.count(), 1)
}
