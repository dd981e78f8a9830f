package gateway

import (
	"context"
	"sync"
	"time"
)

// stopping holds what a gateway knows of the planned stop of its host. The zero value is that of
// a host that does not stop.
type stopping struct {
	mu sync.Mutex
	// endAt is when the requests in progress are given up; the zero time without a stop.
	endAt time.Time
	// givenUp ends when the requests in progress are given up.
	givenUp context.Context
	giveUp  context.CancelFunc
}

// StopAt announces a planned stop. The requests in progress are given up at endAt.
func (g *Gateway) StopAt(endAt time.Time) {
	g.stopping.mu.Lock()
	defer g.stopping.mu.Unlock()
	g.stopping.endAt = endAt
	time.AfterFunc(time.Until(endAt), g.stopping.giveUp)
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
