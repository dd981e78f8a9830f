package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcpool"
)

// Bounds of the connection pool.
const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// idlePerHost is the maximum number of idle connections per host.
	idlePerHost = 32
	// programSlots and controlSlots bound the concurrent calls to one host.
	// Control calls have their own slots, so that program load can't delay them.
	programSlots = 512
	controlSlots = 8
)

// callGroup selects the slots of a call: control calls have their own.
type callGroup int

const (
	groupProgram callGroup = iota
	groupControl
)

// Dialer opens a connection to a host.
type Dialer func(ctx context.Context, host string) (net.Conn, error)

func dialTCP(ctx context.Context, host string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", host)
}

type slotKey struct {
	host string
	lane callGroup
}

// pool provides connections, each to one call at a time.
type pool struct {
	dial  Dialer
	idle  *drpcpool.Pool[string, *clientConn]
	slots sync.Map // slotKey -> chan struct{}
	// closed prevents new connections and the reuse of idle ones.
	closed atomic.Bool
}

func newPool(dial Dialer) *pool {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idlePerHost}
	return &pool{dial: dial, idle: drpcpool.New[string, *clientConn](options)}
}

func (p *pool) slot(k slotKey) chan struct{} {
	if s, ok := p.slots.Load(k); ok {
		return s.(chan struct{})
	}
	size := programSlots
	if k.lane == groupControl {
		size = controlSlots
	}
	s, _ := p.slots.LoadOrStore(k, make(chan struct{}, size))
	return s.(chan struct{})
}

// acquire waits for a slot and returns an idle or new connection. It returns
// *ClosedError on a closed pool, else the error of ctx or of the dialer.
func (p *pool) acquire(ctx context.Context, k slotKey) (*clientConn, error) {
	if p.closed.Load() {
		return nil, &ClosedError{}
	}
	slot := p.slot(k)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c, ok := p.idle.Take(k.host); ok {
		return c, nil
	}
	c, err := p.open(ctx, k.host)
	if err != nil {
		<-slot
		return nil, err
	}
	return c, nil
}

func (p *pool) open(ctx context.Context, host string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, host)
	if err != nil {
		return nil, err
	}
	return newClientConn(c), nil
}

// release returns a usable connection to the pool.
func (p *pool) release(k slotKey, c *clientConn) {
	if p.closed.Load() {
		p.discard(k, c)
		return
	}
	p.idle.Put(k.host, c)
	<-p.slot(k)
}

// discard closes a connection, which cancels its call at the other host.
func (p *pool) discard(k slotKey, c *clientConn) {
	_ = c.Close()
	<-p.slot(k)
}

func (p *pool) close() {
	p.closed.Store(true)
	_ = p.idle.Close()
}
