// Package handover passes requests of callers on to other hosts while this host has no path to
// the targets, and takes such requests of other hosts.
package handover

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/handover"
	"yuccausher/internal/fault"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

const (
	// offerTimeout limits how long a host may take to decide on a request. It is a few round
	// trips between data centres.
	offerTimeout = 200 * time.Millisecond
	// maxOffers limits how many hosts are asked for one request.
	maxOffers = 8
	// notTakenRetryAfter is when callers may retry a request that no host took.
	notTakenRetryAfter = 300 * time.Millisecond
)

// Client passes requests on to other hosts. It implements gateway.Handover.
type Client struct {
	peers port.HandoverPeers
	log   logr.Logger
	scope tally.Scope

	// newest is the version of the newest configuration that another host has stated.
	newest atomic.Int64

	mu     sync.Mutex
	choice *handover.Peers
}

var _ gateway.Handover = (*Client)(nil)

// NewClient returns a client for some hosts.
func NewClient(peers port.HandoverPeers, log logr.Logger, scope tally.Scope) *Client {
	return &Client{peers: peers, log: log.WithName("handover"), scope: scope.SubScope("handover"), choice: handover.NewPeers(rand.IntN)}
}

// NewestConfiguration implements gateway.Handover.
func (c *Client) NewestConfiguration() int64 { return c.newest.Load() }

// HandOver implements gateway.Handover.
func (c *Client) HandOver(ctx context.Context, requestID string, r port.HandoverRequest) (gateway.Taken, error) {
	started := time.Now()
	known := c.peers.Hosts()
	asked := make(map[string]bool)
	var cause error
	for len(asked) < maxOffers && ctx.Err() == nil {
		host, ok := c.choose(known, asked)
		if !ok {
			break
		}
		asked[host] = true
		offer, err := c.offer(ctx, host, r)
		if isStale(err) && ctx.Err() == nil {
			offer, err = c.offer(ctx, host, r)
		}
		c.record(host, offer, err)
		c.log.Info("Request was offered to another host.", "request", requestID, "host", host, "decision", decisionOf(offer, err), "asked", len(asked),
			"known", len(known), "ms", time.Since(started).Milliseconds(), "cause", fault.Text(err))
		if err == nil && offer.Decision == port.HandoverTaken {
			return gateway.Taken{Host: host, Answer: &countedAnswer{HandoverAnswer: offer.Answer, ended: func() { c.ended(host) }}}, nil
		}
		cause = err
	}
	return gateway.Taken{}, &NotTakenError{Asked: len(asked), Known: len(known), Cause: cause}
}

// isStale reports whether an offer may have failed because its connection was closing: that of
// a request that its caller has given up.
func isStale(err error) bool {
	var down *port.HostDownError
	return err != nil && !errors.As(err, &down) && !errors.Is(err, errLate)
}

// NotTakenError reports that no host has taken a request, so that it has not run.
type NotTakenError struct {
	// Asked is the number of hosts that were asked, of Known that are known.
	Asked, Known int
	Cause        error
}

// Error implements error.
func (e *NotTakenError) Error() string {
	return "none of " + strconv.Itoa(e.Asked) + " hosts that were asked took the request, " + strconv.Itoa(e.Known) + " are known"
}

// Unwrap returns the cause.
func (e *NotTakenError) Unwrap() error { return e.Cause }

// RetryAfter returns when a host may take the request.
func (e *NotTakenError) RetryAfter() time.Duration {
	return time.Duration((1 + rand.Float64()) * float64(notTakenRetryAfter))
}

func (c *Client) choose(known []string, asked map[string]bool) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choice.Choose(known, func(h string) bool { return asked[h] }, time.Now())
}

// offer asks a host to take a request.
func (c *Client) offer(ctx context.Context, host string, r port.HandoverRequest) (port.HandoverOffer, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(offerTimeout, cancel)
	offer, err := c.peers.Offer(ctx, host, r)
	isLate := !timer.Stop()
	if err == nil {
		raise(&c.newest, offer.Configuration)
	}
	switch {
	case err == nil && offer.Decision == port.HandoverTaken && offer.Configuration < r.View.Configuration:
		// A host of an earlier build does not say by which configuration it serves.
		offer.Answer.Close()
		offer = port.HandoverOffer{Decision: port.HandoverOutdated}
	case err == nil && offer.Decision == port.HandoverTaken && isLate:
		offer.Answer.Close()
		return port.HandoverOffer{}, errLate
	case err == nil && offer.Decision == port.HandoverTaken:
		offer.Answer = &countedAnswer{HandoverAnswer: offer.Answer, ended: cancel}
		return offer, nil
	case err != nil && isLate:
		err = errLate
	}
	cancel()
	return offer, err
}

// raise makes v at least n.
func raise(v *atomic.Int64, n int64) {
	for old := v.Load(); old < n && !v.CompareAndSwap(old, n); old = v.Load() {
	}
}

// errLate reports that a host has not decided within offerTimeout.
var errLate = errors.New("host has not decided in time")

// record records the decision of a host.
func (c *Client) record(host string, offer port.HandoverOffer, err error) {
	c.scope.Tagged(map[string]string{"decision": decisionOf(offer, err)}).Counter("offers").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.choice.Unreachable(host, time.Now())
	case offer.Decision == port.HandoverTaken:
		c.choice.Taken(host)
	default:
		c.choice.Declined(host, time.Now())
	}
}

func decisionOf(offer port.HandoverOffer, err error) string {
	if err != nil {
		return "none"
	}
	return offer.Decision.String()
}

func (c *Client) ended(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choice.Ended(host)
}

// countedAnswer calls ended after it was closed.
type countedAnswer struct {
	port.HandoverAnswer
	ended func()
}

// Close implements port.HandoverAnswer.
func (a *countedAnswer) Close() {
	a.HandoverAnswer.Close()
	a.ended()
}
