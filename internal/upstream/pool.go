// Package upstream keeps the connections to targets: which may be used again,
// how requests are written to them and how their answers are read.
package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"yuccausher/internal/socket"
)

const (
	// dialTimeout bounds a new connection. It is shorter than the retry of a
	// lost opening packet, after which another target is the better choice.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept whose target does not say
	// how long it keeps its end.
	defaultIdle = 10 * time.Second
	// idleMargin is how much sooner than the target the host gives an idle
	// connection up, so that a request does not cross the target's close.
	idleMargin = 800 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to a target. All hosts
	// together stay below the connections that targets take.
	maxIdlePerTarget = 4
	// readBuffer is the size of a connection's read buffer, in bytes. Most
	// events and answers of plain services fit.
	readBuffer = 2 << 10
)

// Target names one run of a target.
type Target struct {
	ID        string
	Address   string
	StartedAt int64
}

// Pool holds the idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[Target][]*Conn
	opened  tally.Counter
	reused  tally.Counter
	dropped tally.Counter
}

// NewPool returns an empty pool whose use is counted in scope.
func NewPool(scope tally.Scope) *Pool {
	s := scope.SubScope("upstream")
	return &Pool{
		dialer:  net.Dialer{Timeout: dialTimeout, Control: socket.DetectDeadPeer},
		idle:    make(map[Target][]*Conn),
		opened:  s.Counter("connections_opened"),
		reused:  s.Counter("connections_reused"),
		dropped: s.Counter("connections_dropped"),
	}
}

// Conn is a connection to a target that carries one request at a time.
type Conn struct {
	net.Conn
	// Kept says that the connection has carried a request before.
	Reused bool

	reader *bufio.Reader
	// source is what the reader reads from.
	source    *limitedSource
	pool      *Pool
	target    Target
	idleSince time.Time
	keep      time.Duration
	// clean says that the last answer was read to its end and that the target
	// keeps the connection.
	clean bool
	// writing is closed when the last request was written.
	writing chan struct{}
	written error
}

// Connect returns a kept connection that was idle for no longer than maxIdle,
// or a new one. Its error is a *DialError.
func (p *Pool) Connect(ctx context.Context, target Target, maxIdle time.Duration) (*Conn, error) {
	if c := p.take(target, maxIdle); c != nil {
		p.reused.Inc(1)
		c.Reused = true
		return c, nil
	}
	return p.Dial(ctx, target)
}

// Dial opens a new connection. Its error is a *DialError.
func (p *Pool) Dial(ctx context.Context, target Target) (*Conn, error) {
	p.opened.Inc(1)
	c, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &DialError{Target: target.ID, Cause: err}
	}
	source := &limitedSource{Reader: c}
	return &Conn{Conn: c, reader: bufio.NewReaderSize(source, readBuffer), source: source, pool: p, target: target, keep: defaultIdle}, nil
}

func (p *Pool) take(target Target, maxIdle time.Duration) *Conn {
	now := time.Now()
	for {
		c := p.pop(target, now.Add(-maxIdle))
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) <= c.keep && isQuiet(c.Conn) {
			return c
		}
		p.drop(c)
	}
}

// pop takes the connection that was used last, if that was not before a time.
// Requests that may wait longer can still use one that this one can't.
func (p *Pool) pop(target Target, since time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 || list[len(list)-1].idleSince.Before(since) {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

func (p *Pool) drop(c *Conn) {
	p.dropped.Inc(1)
	_ = c.Conn.Close()
}

// Release gives a connection back after its exchange. It is kept if nothing
// speaks against it.
func (c *Conn) Release() {
	if !c.clean || !c.isWritten() || c.reader.Buffered() > 0 {
		c.pool.drop(c)
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.pool.drop(c)
		return
	}
	c.clean = false
	c.pool.keep(c)
}

// keep takes an idle connection if there is room for it.
func (p *Pool) keep(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.target]
	full := len(list) >= maxIdlePerTarget
	if !full {
		p.idle[c.target] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		p.drop(c)
	}
}

// Probe opens a connection to a target to see whether it is there, and keeps it
// for a later request. Its error is a *DialError.
func (p *Pool) Probe(ctx context.Context, target Target) error {
	c, err := p.Dial(ctx, target)
	if err != nil {
		return err
	}
	p.keep(c)
	return nil
}

func (c *Conn) isWritten() bool {
	select {
	case <-c.writing:
		return c.written == nil
	default:
		return false
	}
}

// Sweep closes connections that were idle for too long and those of targets
// for which keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(Target) bool) {
	p.mu.Lock()
	var old []*Conn
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !keep(target) || now.Sub(c.idleSince) > c.keep {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(time.Now(), func(Target) bool { return false })
}

// keepFor takes the idle time that the target states in whole seconds.
func (c *Conn) keepFor(header string) {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.keep = max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
}
