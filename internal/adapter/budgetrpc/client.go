// Package budgetrpc carries requests for tokens of budgets between hosts over DRPC.
package budgetrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"yuccausher/internal/gen/spending"
	"yuccausher/internal/port"
	"yuccausher/internal/socket"
)

const (
	// dialTimeout bounds connecting to another host, which is a few milliseconds
	// away.
	dialTimeout = 150 * time.Millisecond
	// downTTL is how long no connection to a host is tried after one has failed.
	downTTL = time.Second
	// idleTimeout is how long an unused connection is kept, idlePerHost how many of
	// them per host.
	idleTimeout = 10 * time.Second
	idlePerHost = 2
)

// Directory lists the hosts.
type Directory interface {
	// Self returns this host's address, Hosts the addresses of the others.
	Self() string
	Hosts() []string
	// IsKnown reports whether the list has been read.
	IsKnown() bool
}

// Client sends requests to other hosts. It implements port.BudgetPeers.
type Client struct {
	Directory
	dialer net.Dialer
	pool   *drpcpool.Pool[string, drpcpool.Conn]

	mu sync.Mutex
	// down holds the hosts that no connection is tried to, and until when.
	downUntil map[string]time.Time
}

var _ port.BudgetPeers = (*Client)(nil)

// NewClient returns a client for the hosts of a directory.
func NewClient(d Directory) *Client { return NewClientWithIdle(d, idlePerHost) }

// NewClientWithIdle returns a client that keeps up to idle unused connections per host.
func NewClientWithIdle(d Directory, idle int) *Client {
	return &Client{
		Directory: d,
		dialer:    socket.Dialer(dialTimeout),
		pool:      drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idle}),
		downUntil: make(map[string]time.Time),
	}
}

// Connect returns a connection to a host, which is dialled on first use. Its error is
// a *port.HostDownError if the host has accepted no connection within downTTL, and so is that of
// a call for which no connection was opened.
func (c *Client) Connect(ctx context.Context, host string) (drpc.Conn, error) {
	c.mu.Lock()
	isDown := time.Now().Before(c.downUntil[host])
	c.mu.Unlock()
	if isDown {
		return nil, &port.HostDownError{Host: host}
	}
	return c.pool.Get(ctx, host, c.dial), nil
}

func (c *Client) dial(ctx context.Context, host string) (drpcpool.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		// A caller that has left says nothing about the host.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.mu.Lock()
			c.downUntil[host] = time.Now().Add(downTTL)
			c.mu.Unlock()
		}
		return nil, &port.HostDownError{Host: host, Cause: err}
	}
	return drpcconn.New(conn), nil
}

// Reserve implements port.BudgetPeers.
func (c *Client) Reserve(ctx context.Context, host string, r port.LendRequest) (port.LendAnswer, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.LendAnswer{}, err
	}
	defer conn.Close()
	request := &spending.ReserveRequest{
		Reservation: r.Reservation,
		Account:     r.Account,
		Program:     []byte(r.Program),
		Budget:      r.Budget,
		Most:        r.MaxTokens,
		Least:       r.MinTokens,
		Claimed:     r.Claimed,
		MayLend:     r.MayLend,
		Loans:       encodeLoans(r.Loans),
		PatienceMs:  r.MaxWait.Milliseconds(),
	}
	if !r.FoundAt.IsZero() {
		request.FindingAgeUs = max(time.Since(r.FoundAt).Microseconds(), 1)
	}
	request.SilenceUs = encodeAge(r.SilentSince)
	reply, err := spending.NewDRPCBudgetsClient(conn).Reserve(ctx, request)
	if err != nil {
		return port.LendAnswer{}, errors.Annotatef(err, "reserve at host %s", host)
	}
	answer := port.LendAnswer{Decision: port.LendBusy, Loans: decodeLoans(reply.Loans), Writer: reply.Writer, Account: reply.Account, Granted: reply.Granted}
	answer.Contact = port.LogContact{AnsweredAt: decodeAge(reply.AnsweredAgeUs), MarkedAt: decodeAge(reply.MarkedAgeUs)}
	switch reply.Decision {
	case spending.Decision_DECISION_GRANTED:
		answer.Decision = port.LendGranted
	case spending.Decision_DECISION_SPENT:
		answer.Decision = port.LendSpent
	case spending.Decision_DECISION_AWAY:
		answer.Decision = port.LendUnavailable
	}
	return answer, nil
}

// Settle implements port.BudgetPeers.
func (c *Client) Settle(ctx context.Context, host string, reservation uint64, spent int64) (port.HostRun, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.HostRun{}, err
	}
	defer conn.Close()
	reply, err := spending.NewDRPCBudgetsClient(conn).Settle(ctx, &spending.SettleRequest{Reservation: reservation, Spent: spent})
	if err != nil {
		return port.HostRun{}, errors.Annotatef(err, "settle at host %s", host)
	}
	run := port.HostRun{Writer: reply.Writer}
	if reply.AgeUs > 0 {
		run.StartedAt = time.Now().Add(-time.Duration(reply.AgeUs) * time.Microsecond)
	}
	return run, nil
}

// Note implements port.BudgetPeers.
func (c *Client) Note(ctx context.Context, host string, n port.BudgetNote) (bool, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	reply, err := spending.NewDRPCBudgetsClient(conn).Note(ctx, &spending.NoteRequest{
		Program: []byte(n.Program),
		Loans:   encodeLoans(n.Loans),
		Claimed: n.Claimed,
		Offset:  n.Offset,
	})
	if err != nil {
		return false, errors.Annotatef(err, "note at host %s", host)
	}
	return reply.Recorded, nil
}

// Fence implements port.BudgetPeers.
func (c *Client) Fence(ctx context.Context, host string, part int) ([]port.ProgramLoan, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := spending.NewDRPCBudgetsClient(conn).Fence(ctx, &spending.FenceRequest{Partition: uint32(part)})
	if err != nil {
		return nil, errors.Annotatef(err, "fence at host %s", host)
	}
	return decodeProgramLoans(reply.Loans), nil
}

// KnownLoans implements port.BudgetPeers.
func (c *Client) KnownLoans(ctx context.Context, host string, part int) (port.KnownLoans, error) {
	conn, err := c.Connect(ctx, host)
	if err != nil {
		return port.KnownLoans{}, err
	}
	defer conn.Close()
	reply, err := spending.NewDRPCBudgetsClient(conn).KnownLoans(ctx, &spending.KnownLoansRequest{Partition: uint32(part)})
	if err != nil {
		return port.KnownLoans{}, errors.Annotatef(err, "ask host %s for loans", host)
	}
	known := port.KnownLoans{Loans: decodeProgramLoans(reply.Loans)}
	if reply.FollowedMs > 0 {
		known.Since = time.Now().Add(-time.Duration(reply.FollowedMs) * time.Millisecond)
	}
	return known, nil
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.Close() }
