// Package upstream manages the connections to targets: it pools idle connections,
// writes requests and reads answers.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/retry"
	"yuccausher/internal/memory"
	"yuccausher/internal/socket"
)

const (
	// maxDialTimeout limits the time to establish a connection. It is shorter than the
	// retransmission timeout of a lost SYN packet: by then it is better to choose
	// another target.
	maxDialTimeout = 700 * time.Millisecond
	// minDialTimeout is the lower bound of the timeout that follows the time of earlier
	// connections. A target that has lost its power does not refuse connections.
	minDialTimeout = 100 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections whose target does not
	// announce one.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how much earlier than the target the host closes an idle
	// connection, so that the target does not close it while a request is in transit.
	idleMargin = 800 * time.Millisecond
	// maxIdlePerTarget limits the idle connections to a target. All hosts together
	// stay below the number of connections that targets accept.
	maxIdlePerTarget = 4
	// readBufferBytes is the size of a connection's read buffer. Most events and
	// non-streamed answers fit.
	readBufferBytes = 2 << 10
	// receiveBufferBytes is how much of an answer the kernel holds for a connection until
	// it is read. By itself it would hold megabytes for a caller that reads slowly.
	receiveBufferBytes = 32 << 10
	// defaultMemoryBytes is the memory for headers of a pool without SetMemory.
	defaultMemoryBytes = 16 << 20
)

// Target identifies one run of a target.
type Target struct {
	ID        string
	Address   string
	StartedAt int64
}

// Observer observes the path to the targets.
type Observer interface {
	// Connected and ConnectFailed report whether a target has accepted a connection.
	Connected(Target)
	ConnectFailed(Target)
	// Received reports that data has arrived from a target.
	Received()
	// Waiting reports that a request waits for its answer until answered is called.
	Waiting() (answered func())
}

// noObserver is the observer of a pool without one.
type noObserver struct{}

func (noObserver) Connected(Target)     {}
func (noObserver) ConnectFailed(Target) {}
func (noObserver) Received()            {}
func (noObserver) Waiting() func()      { return func() {} }

// Pool holds the idle connections to targets. It is safe for concurrent use.
type Pool struct {
	// dialContext opens connections whose reads end with io.EOF only at an orderly end.
	dialContext socket.DialFunc
	observer    Observer
	// memory is what the headers of answers take while they are read.
	memory *memory.Budget
	mu     sync.Mutex
	idle   map[Target][]*connection
	// timeout is that of connections for requests. It is guarded by mu.
	timeout retry.Timeout
	opened  tally.Counter
	reused  tally.Counter
	dropped tally.Counter
	// lastID is the ID of the newest connection.
	lastID atomic.Uint64
}

// NewPool returns an empty pool that reports its metrics to scope.
func NewPool(scope tally.Scope) *Pool {
	s := scope.SubScope("upstream")
	return &Pool{
		dialContext: socket.DialReportingResets(socket.WithReceiveBuffer(socket.Dialer(0), receiveBufferBytes)),
		memory:      memory.NewBudget(defaultMemoryBytes),
		observer:    noObserver{},
		idle:        make(map[Target][]*connection),
		timeout:     retry.Timeout{Min: minDialTimeout, Max: maxDialTimeout},
		opened:      s.Counter("connections_opened"),
		reused:      s.Counter("connections_reused"),
		dropped:     s.Counter("connections_dropped"),
	}
}

// SetObserver sets the observer of the path to the targets. It must be called before the pool is
// used.
func (p *Pool) SetObserver(o Observer) { p.observer = o }

// SetMemory sets the budget of memory for the headers of answers. It must be called before the
// pool is used.
func (p *Pool) SetMemory(b *memory.Budget) { p.memory = b }

// connection is a connection to a target. It belongs to the pool while it is idle, and to one Conn at
// a time otherwise.
type connection struct {
	net.Conn
	id     ConnectionID
	reader *bufio.Reader
	// source is the source of reader.
	source      *limitedReader
	target      Target
	idleSince   time.Time
	idleTimeout time.Duration
}

// Connect returns a pooled connection that was idle for no longer than maxIdle and for
// which isExcluded returns false, or a new one. Its error is a *DialError.
func (p *Pool) Connect(ctx context.Context, target Target, maxIdle time.Duration, isExcluded func(ConnectionID) bool) (*Conn, error) {
	if c := p.takeIdle(target, maxIdle, isExcluded); c != nil {
		p.reused.Inc(1)
		return &Conn{Reused: true, pool: p, connection: c}, nil
	}
	return p.Dial(ctx, target)
}

// Dial opens a new connection, which may take several times as long as earlier ones. Its
// error is a *DialError.
func (p *Pool) Dial(ctx context.Context, target Target) (*Conn, error) {
	started := time.Now()
	p.mu.Lock()
	limit := p.timeout.Limit()
	p.mu.Unlock()
	c, err := p.dial(ctx, target, limit)
	took := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.timeout.Succeeded(took)
	case ctx.Err() == nil && took >= limit:
		p.timeout.Expired()
	}
	if err != nil {
		return nil, err
	}
	return &Conn{pool: p, connection: c}, nil
}

// dial opens a new connection within a limit.
func (p *Pool) dial(ctx context.Context, target Target, limit time.Duration) (*connection, error) {
	p.opened.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := p.dialContext(ctx, "tcp", target.Address)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.observer.ConnectFailed(target)
		}
		return nil, &DialError{Target: target.ID, Cause: err}
	}
	p.observer.Connected(target)
	source := &limitedReader{Reader: observedReader{Reader: c, observer: p.observer}}
	return &connection{
		Conn: c, id: ConnectionID(p.lastID.Add(1)), reader: bufio.NewReaderSize(source, readBufferBytes), source: source,
		target: target, idleTimeout: defaultIdleTimeout,
	}, nil
}

// observedReader reports the data that it reads.
type observedReader struct {
	io.Reader
	observer Observer
}

// Read implements io.Reader.
func (r observedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.observer.Received()
	}
	return n, err
}

func (p *Pool) takeIdle(target Target, maxIdle time.Duration, isExcluded func(ConnectionID) bool) *connection {
	now := time.Now()
	for {
		c := p.popIdle(target, now.Add(-maxIdle), isExcluded)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) <= c.idleTimeout && isOpenAndEmpty(c.Conn) {
			return c
		}
		p.discard(c)
	}
}

// popIdle removes and returns the most recently used connection that is not excluded,
// unless it was last used before since. An older one stays in the pool for requests that
// accept a longer idle time.
func (p *Pool) popIdle(target Target, since time.Time, isExcluded func(ConnectionID) bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	for i := len(list) - 1; i >= 0 && !list[i].idleSince.Before(since); i-- {
		if c := list[i]; !isExcluded(c.id) {
			p.idle[target] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) discard(c *connection) {
	p.dropped.Inc(1)
	_ = c.Conn.Close()
}

// putIdle adds an idle connection to the pool, or closes it if the target already has
// maxIdlePerTarget.
func (p *Pool) putIdle(c *connection) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.target]
	full := len(list) >= maxIdlePerTarget
	if !full {
		p.idle[c.target] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		p.discard(c)
	}
}

// Probe checks that a target accepts connections within maxDialTimeout, and adds the
// connection to the pool. Its error is a *DialError.
func (p *Pool) Probe(ctx context.Context, target Target) error {
	c, err := p.dial(ctx, target, maxDialTimeout)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Sweep closes connections whose idle timeout has expired and those to targets for which
// keep returns false.
func (p *Pool) Sweep(now time.Time, keep func(Target) bool) {
	p.mu.Lock()
	var expired []*connection
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !keep(target) || now.Sub(c.idleSince) > c.idleTimeout {
				expired = append(expired, c)
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
	for _, c := range expired {
		p.discard(c)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(time.Now(), func(Target) bool { return false })
}

// setIdleTimeout sets the idle timeout from a Keep-Alive header, which states it in
// whole seconds.
func (c *connection) setIdleTimeout(header string) {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
}
