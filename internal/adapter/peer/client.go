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

// ClientParams are what a Client needs. Dial and Scope may be nil.
type ClientParams struct {
	Dial  Dialer
	Scope tally.Scope
}

// Client reaches other hosts. It implements port.Peers.
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

// Close closes the idle connections. Calls under way go on.
func (c *Client) Close() { c.pool.close() }

// call runs one exchange on a connection of its own. Errors of exchange that
// are part of the protocol leave the connection open and pass as they are.
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

// control is call for the calls that are not about programs.
func (c *Client) control(ctx context.Context, host, name string, exchange func(context.Context, pb.DRPCPeerClient) error) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, controlTimeout)
		defer cancel()
	}
	return c.call(ctx, slotKey{host: host, lane: groupControl}, name, exchange)
}

// failure gives a broken exchange its type and counts it.
func (c *Client) failure(ctx context.Context, host, name string, sent bool, err error) error {
	var gone *sinkError
	switch {
	case errors.As(err, &gone):
		return gone.cause
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

// isOutcome says whether an error is a typed answer of the other host.
func isOutcome(err error) bool {
	var notOwner *port.NotOwnerError
	var logFailure *port.LogError
	if errors.As(err, &notOwner) || errors.As(err, &logFailure) {
		return true
	}
	_, ok := fault.As(err)
	return ok
}
