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
	// controlBytes is what a host may spend on control a second, and pollShare
	// the part of it that is left for polls beside heartbeats and the log.
	controlBytes = 8 << 10
	pollShare    = 0.5
	// exchangeBytes bounds what one poll carries both ways, headers included.
	exchangeBytes = 500
)

// counting counts the requests that a host makes to follow its targets.
type counting struct {
	port.Engine
	requests atomic.Int64
}

func (c *counting) Status(ctx context.Context, t port.Target) (port.EngineStatus, error) {
	c.requests.Add(1)
	return c.Engine.Status(ctx, t)
}

func (c *counting) Events(ctx context.Context, t port.Target, after uint64) ([]port.CacheEvent, error) {
	c.requests.Add(1)
	return c.Engine.Events(ctx, t, after)
}

// TestPollsFitTheControlBytes bounds the requests of a host that follows few
// or many targets and uses none of them.
func TestPollsFitTheControlBytes(t *testing.T) {
	const span = 60
	for _, replicas := range []int{10, 100, 600} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				is := is.New(t)
				var c *counting
				h := newHost(t, newFleet(replicas, 8), document(replicas, 8), func(p *Params) {
					c = &counting{Engine: p.Engine}
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

// TestTargetInUseIsAskedEverySecond: a call ends the rest of its target.
func TestTargetInUseIsAskedEverySecond(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		var c *counting
		h := newHost(t, newFleet(1, 8), document(1, 8), func(p *Params) {
			c = &counting{Engine: p.Engine}
			p.Engine = c
		})
		defer h.Stop(t.Context())
		time.Sleep(10 * time.Second)
		g, err := h.Acquire(t.Context(), modelWork("p"))
		is.NoErr(err)
		before := c.requests.Load()
		time.Sleep(10 * time.Second)
		is.True(c.requests.Load()-before >= 8) // one a second, jittered
		g.Done(port.Result{})
	})
}
