package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// expectedFactor is how long most requests take at most, as a multiple of their objective.
const expectedFactor = 2

// stopping holds what a gateway knows of the planned stop of its host. The zero value is that of
// a host that does not stop.
type stopping struct {
	mu sync.Mutex
	// endAt is when the requests in progress are given up; the zero time without a stop.
	endAt time.Time
	// redirectedAt is when callers stop sending new requests to this host. Those that come
	// later are served only if they surely end in time.
	redirectedAt time.Time
	// isClosed is set if no further request is served.
	isClosed bool
	// givenUp ends when the requests in progress are given up.
	givenUp context.Context
	giveUp  context.CancelFunc
}

// StopAt announces a planned stop. The requests in progress are given up at endAt.
func (g *Gateway) StopAt(redirectedAt, endAt time.Time) {
	g.stopping.mu.Lock()
	defer g.stopping.mu.Unlock()
	g.stopping.redirectedAt, g.stopping.endAt = redirectedAt, endAt
	time.AfterFunc(time.Until(endAt), g.stopping.giveUp)
}

// RefuseFurther refuses all requests that come from now on. Those in progress go on.
func (g *Gateway) RefuseFurther() {
	g.stopping.mu.Lock()
	defer g.stopping.mu.Unlock()
	g.stopping.isClosed = true
}

// limitToStop makes ctx end when the requests in progress are given up.
func (g *Gateway) limitToStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.stopping.givenUp, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// fitsBeforeStop reports whether the request will end before the planned stop of the host: most
// probably while callers can't know of the stop, and surely after that.
func (j *job) fitsBeforeStop(now time.Time) bool {
	s := &j.g.stopping
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isClosed:
		return false
	case s.endAt.IsZero():
		return true
	}
	longest := j.deadline().Sub(now)
	if now.Before(s.redirectedAt) {
		longest = min(longest, expectedFactor*j.route.Objective)
	}
	return now.Add(longest).Before(s.endAt)
}

// refuseStopping refuses a request that may not end before the planned stop. Another host can
// serve it at once.
func (j *job) refuseStopping() {
	j.w.Header().Set("Connection", "close")
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "stopping"})
}
