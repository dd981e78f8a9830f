package sched

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
)

const (
	// controlBytes is the limit of a host's control traffic in bytes per second, and
	// pollShare the part that heartbeats and the log leave for polls.
	controlBytes = 8 << 10
	pollShare    = 0.5
	// exchangeBytes is the maximum size of one poll in both directions, headers
	// included.
	exchangeBytes = 500
)

// countingEngine counts the polling requests of a host.
type countingEngine struct {
	port.Engine
	requests atomic.Int64
}

func (c *countingEngine) Status(ctx context.Context, t port.Target) (port.EngineStatus, error) {
	c.requests.Add(1)
	return c.Engine.Status(ctx, t)
}

func (c *countingEngine) Events(ctx context.Context, t port.Target, after uint64) ([]port.CacheEvent, error) {
	c.requests.Add(1)
	return c.Engine.Events(ctx, t, after)
}

// TestPollsFitControlBandwidth checks the polling traffic of a host that polls few or
// many targets and uses none of them.
func TestPollsFitControlBandwidth(t *testing.T) {
	const span = 60
	for _, replicas := range []int{10, 100, 600} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				is := is.New(t)
				var c *countingEngine
				h := newHost(t, newFleet(replicas, 8), document(replicas, 8), func(p *Params) {
					c = &countingEngine{Engine: p.Engine}
					p.Engine = c
				})
				defer h.Stop(t.Context())
				time.Sleep(10 * time.Second)
				before := c.requests.Load()
				time.Sleep(span * time.Second)
				perSecond := float64(c.requests.Load()-before) / span
				t.Logf("%d replicas: %.1f requests a second", replicas, perSecond)
				is.True(perSecond > 0)
				is.True(perSecond*exchangeBytes <= pollShare*controlBytes)
			})
		})
	}
}

// TestTargetInUseIsPolledEverySecond checks that a call to an idle target shortens the
// target's poll interval.
func TestTargetInUseIsPolledEverySecond(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		var c *countingEngine
		h := newHost(t, newFleet(1, 8), document(1, 8), func(p *Params) {
			c = &countingEngine{Engine: p.Engine}
			p.Engine = c
		})
		defer h.Stop(t.Context())
		time.Sleep(10 * time.Second)
		g, err := h.Acquire(t.Context(), modelWork("p"))
		is.NoErr(err)
		before := c.requests.Load()
		time.Sleep(10 * time.Second)
		is.True(c.requests.Load()-before >= 8) // one per second, with jitter
		g.Done(port.Result{})
	})
}
