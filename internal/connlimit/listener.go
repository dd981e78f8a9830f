package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// stalledWrite is how long a write may be blocked before its connection counts as making no
	// progress.
	stalledWrite = time.Second
	// refusalTimeout bounds the write of a refusal. It fits the empty send buffer of a new
	// connection, so that it is not expected to wait at all.
	refusalTimeout = 10 * time.Millisecond
	// endingShare is the part, one in so many, of the limit of pending bytes that connections may take
	// that are closed and whose owners have not given them up yet, before further reads wait. Without
	// the wait, messages that never end took 133 MB of a host of 112.
	endingShare = 4
	// endingPatience bounds that wait, which is over in a few milliseconds unless the processor is
	// overloaded. endingPoll is the interval of its checks.
	endingPatience = 100 * time.Millisecond
	endingPoll     = time.Millisecond
	// logInterval is the least time between two log lines on connections that were closed.
	logInterval = time.Second
)

// Options describe a listener.
type Options struct {
	// Port names the listener in logs and metrics.
	Port   string
	Limits Limits
	// Refusal is written to a connection that is refused because all others are in use; nothing if
	// it is empty.
	Refusal []byte
	Logger  logr.Logger
	Scope   tally.Scope
}

// Listener accepts connections within limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options
	log     logr.Logger
	closed  map[string]tally.Counter
	open    tally.Gauge

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// pending is the sum of the pending bytes of all connections.
	pending int64
	// endingBytes is the sum of the pending bytes of connections that were closed to keep the limits
	// and whose owners have not given them up yet. They take memory until then.
	endingBytes int64
	// unlogged counts connections that were closed since the last log line.
	unlogged int
	loggedAt time.Time
}

// The reasons why a connection is closed.
const (
	reasonConnections = "connections"
	reasonPending     = "pending_bytes"
	reasonRefused     = "refused"
)

// Listen returns l with limits.
func Listen(l net.Listener, o Options) *Listener {
	scope := o.Scope.SubScope("connections").Tagged(map[string]string{"port": o.Port})
	closed := make(map[string]tally.Counter)
	for _, reason := range []string{reasonConnections, reasonPending, reasonRefused} {
		closed[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter("closed")
	}
	return &Listener{Listener: l, options: o, log: o.Logger.WithName("connections"), closed: closed, open: scope.Gauge("open"), conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener. It closes another connection if there are too many, or refuses
// the new one if all others make progress.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, since: time.Now()}
		if l.add(c) {
			return c, nil
		}
		l.refuse(inner)
	}
}

// add takes a connection into the set. It returns false if there is no room for it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.options.Limits.Connections {
		if victim = l.victim(false); victim == nil {
			l.note(reasonRefused)
			l.mu.Unlock()
			return false
		}
		l.note(reasonConnections)
		l.evict(victim)
	}
	l.conns[c] = struct{}{}
	l.open.Update(float64(len(l.conns)))
	l.mu.Unlock()
	closeVictim(victim)
	return true
}

// refuse tells a client that its connection is refused and closes it.
func (l *Listener) refuse(c net.Conn) {
	if len(l.options.Refusal) > 0 && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		// The client may have gone.
		_, _ = c.Write(l.options.Refusal)
	}
	_ = c.Close()
}

// victim returns the connection to be closed, nil if all make progress. If isPending is set, only
// connections with pending bytes are considered. The caller holds the lock.
//
// Connections without any request so far come before those that have been served, since callers
// keep the latter for their next requests. Within each, the oldest comes first.
func (l *Listener) victim(isPending bool) *Conn {
	var found *Conn
	now := time.Now()
	for c := range l.conns {
		if isPending && c.pending == 0 || !c.isWaiting(now) {
			continue
		}
		if found == nil || c.wasServed != found.wasServed && found.wasServed || c.wasServed == found.wasServed && c.since.Before(found.since) {
			found = c
		}
	}
	return found
}

// charge counts bytes of a request that has not arrived whole. It closes other connections, or c,
// if all take too much.
func (l *Listener) charge(c *Conn, bytes int64) {
	var victims []*Conn
	l.mu.Lock()
	if _, isOpen := l.conns[c]; isOpen && c.isCounting() {
		c.pending += bytes
		l.pending += bytes
	}
	for l.pending > l.options.Limits.PendingBytes {
		v := l.victim(true)
		if v == nil {
			break
		}
		l.note(reasonPending)
		l.evict(v)
		victims = append(victims, v)
	}
	l.mu.Unlock()
	for _, v := range victims {
		closeVictim(v)
	}
}

// progress records that a connection has got into a state.
func (l *Listener) progress(c *Conn, s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == stateIdle {
		c.wasServed = true
	}
	c.state, c.since = s, time.Now()
	l.release(c)
}

// writing records when a write began; the zero time when it has ended. On connections of other
// hosts a write is an answer.
func (l *Listener) writing(c *Conn, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.writingSince = at
	if c.frames != nil && at.IsZero() {
		c.wasServed, c.since = true, time.Now()
	}
}

// remove takes a connection out of the set that its owner has given up.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
	delete(l.conns, c)
	l.open.Update(float64(len(l.conns)))
}

// evict takes a connection out of the set that is about to be closed. The caller holds the lock.
func (l *Listener) evict(c *Conn) {
	delete(l.conns, c)
	l.pending -= c.pending
	l.endingBytes += c.pending
	c.isEvicted = true
}

// release forgets the pending bytes of a connection. The caller holds the lock.
func (l *Listener) release(c *Conn) {
	if c.isEvicted {
		l.endingBytes -= c.pending
	} else {
		l.pending -= c.pending
	}
	c.pending = 0
}

// awaitEnding waits for a while if connections with many pending bytes were closed whose owners have
// not given them up yet: what clients send must not outrun the goroutines that free the memory.
func (l *Listener) awaitEnding() {
	for deadline := time.Now().Add(endingPatience); l.isEndingFull() && time.Now().Before(deadline); {
		time.Sleep(endingPoll)
	}
}

func (l *Listener) isEndingFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endingBytes > l.options.Limits.PendingBytes/endingShare
}

// note counts a connection that is closed, and logs at most one line in logInterval. The caller
// holds the lock.
func (l *Listener) note(reason string) {
	l.closed[reason].Inc(1)
	l.unlogged++
	now := time.Now()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.log.Info("Closed connections that exceed the limits.", "port", l.options.Port, "reason", reason, "count", l.unlogged, "open", len(l.conns),
		"max_open", l.options.Limits.Connections, "pending_bytes", l.pending, "max_pending_bytes", l.options.Limits.PendingBytes)
	l.unlogged, l.loggedAt = 0, now
}

func closeVictim(c *Conn) {
	if c != nil {
		// The owner of the connection finds it closed.
		_ = c.Conn.Close()
	}
}
