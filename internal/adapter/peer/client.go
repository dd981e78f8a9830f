package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcerr"

	"yuccausher/internal/fault"
	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// controlTimeout bounds a control call whose context has no deadline.
const controlTimeout = 2 * time.Second

// ClientParams configures a Client. Dial and Scope may be nil.
type ClientParams struct {
	Dial  Dialer
	Scope tally.Scope
}

// Client calls other hosts. It implements port.Peers.
type Client struct {
	pool    *pool
	metrics *clientMetrics
}

var _ port.Peers = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient(p ClientParams) *Client {
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	return &Client{pool: newPool(dial), metrics: newClientMetrics(p.Scope)}
}

// Close closes the idle connections. Calls in flight continue.
func (c *Client) Close() { c.pool.close() }

// call runs one exchange on a connection of its own. Typed answers of the other
// host (see isOutcome) leave the connection open and are returned unchanged;
// other errors close it.
func (c *Client) call(ctx context.Context, k slotKey, name string, exchange func(context.Context, pb.DRPCPeerClient) error) error {
	conn, err := c.pool.acquire(ctx, k)
	if err != nil {
		c.metrics.dialFailed.Inc(1)
		return &port.PeerError{Host: k.host, Cause: err}
	}
	before := conn.sentBytes()
	err = exchange(ctx, pb.NewDRPCPeerClient(conn))
	if err == nil || isOutcome(err) {
		c.pool.release(k, conn)
		return err
	}
	err = conn.closeReason(err)
	c.pool.discard(k, conn)
	sent := conn.sentBytes() > before
	return c.failure(ctx, k.host, name, sent, err)
}

// control is call for control calls. It sets controlTimeout if ctx has no
// deadline.
func (c *Client) control(ctx context.Context, host, name string, exchange func(context.Context, pb.DRPCPeerClient) error) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, controlTimeout)
		defer cancel()
	}
	return c.call(ctx, slotKey{host: host, lane: groupControl}, name, exchange)
}

// failure classifies and counts a failed exchange. It returns a *port.PeerError,
// or the sink's own error.
func (c *Client) failure(ctx context.Context, host, name string, sent bool, err error) error {
	var sinkErr *sinkError
	switch {
	case errors.As(err, &sinkErr):
		return sinkErr.cause
	case isProtocolViolation(err):
		c.metrics.malformed.Inc(1)
	case drpcerr.Code(err) == drpcerr.Unimplemented:
		err = &UnimplementedError{Call: name}
	case ctx.Err() != nil:
		c.metrics.cancelled.Inc(1)
		err = context.Cause(ctx)
	default:
		c.metrics.broken.Inc(1)
	}
	return &port.PeerError{Host: host, Sent: sent, Cause: err}
}

// isOutcome reports whether an error is a typed answer of the other host.
func isOutcome(err error) bool {
	var notOwner *port.NotOwnerError
	var logFailure *port.LogError
	if errors.As(err, &notOwner) || errors.As(err, &logFailure) {
		return true
	}
	_, ok := fault.As(err)
	return ok
}
