// Package replica is a stand-in of the users' targets: a server that runs
// requests in a few slots, answers plainly or with a stream of events, and has
// the faults that targets may have.
package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options set up a replica. Zero values mean no limits and no time.
type Options struct {
	ID string
	// Slots is how many requests run at once; further ones are refused.
	Slots int
	// Work is the time to the first byte of an answer.
	Work time.Duration
	// Events is how many events a stream has, Pause the time between them.
	Events int
	Pause  time.Duration
	// Version is named in each event if it is set.
	Version string
	// Deadly is how bodies begin that take the replica down when they begin to run; empty
	// means none. Death is how: Crashing, Vanishing or CrashingUnframed; None means Crashing.
	// Ended is called with the body when one has, unless it is nil.
	Deadly string
	Death  Fault
	Ended  func(body string)
}

// Run is one request that the replica began to run.
type Run struct {
	RequestID string
	Method    string
	URI       string
	Body      string
	Header    http.Header
	// Abandoned says that the connection closed before the answer was sent.
	Abandoned bool
}

// Replica is one target. It is safe for concurrent use.
type Replica struct {
	options  Options
	listener net.Listener

	mu      sync.Mutex
	faults  []Fault
	always  Fault
	busy    int
	runs    []*Run
	conns   map[net.Conn]bool
	opened  int
	flooded int64
	isDown  bool
	// limit is the rate limit that the replica names in its answers; empty for none.
	limit string
	// headBytes is how much of a head CutHead sends.
	headBytes int
	// status is the status and the reason that OddStatus sends.
	status string
	// raw is what Raw sends.
	raw string
	// interim are the statuses of interim answers that come before each answer.
	interim []string
	// arrivals are when requests arrived, those that it refused as well.
	arrivals []time.Time
	down     chan struct{}
	serving  sync.WaitGroup
}

// Listen starts a replica at an address.
func Listen(address string, o Options) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Replica{options: o, listener: l, conns: make(map[net.Conn]bool), down: make(chan struct{})}
	r.serving.Go(r.accept)
	return r, nil
}

// ID returns the replica's ID, Address where it listens.
func (r *Replica) ID() string { return r.options.ID }

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Fail makes the next requests meet these faults, one each.
func (r *Replica) Fail(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// FailAlways makes all requests meet a fault.
func (r *Replica) FailAlways(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.always = f
}

// CutHeads makes all requests meet CutHead after some bytes of the head.
func (r *Replica) CutHeads(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.always, r.headBytes = CutHead, bytes
}

// Runs returns the requests that the replica began to run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Run, len(r.runs))
	for i, run := range r.runs {
		list[i] = *run
	}
	return list
}

// Opened returns how many connections were opened to the replica.
func (r *Replica) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.isDown {
			r.mu.Unlock()
			reset(c)
			return
		}
		r.conns[c] = true
		r.opened++
		r.mu.Unlock()
		r.serving.Go(func() { r.serve(c) })
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	refused := make(map[string]bool)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.answer(c, reader, request, refused) {
			return
		}
	}
}

// exchange is one request on its connection.
type exchange struct {
	conn    net.Conn
	request *http.Request
	run     *Run
	fault   Fault
	// limit is the rate limit that the answer names; empty for none.
	limit string
	// refused holds the IDs of the requests that were refused on the connection.
	refused map[string]bool
}

// answer serves one request. It returns false if the connection has ended.
func (r *Replica) answer(c net.Conn, reader *bufio.Reader, request *http.Request, refused map[string]bool) bool {
	x := &exchange{conn: c, request: request, fault: r.nextFault(), limit: r.arrive(), refused: refused}
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.options.ID {
		_, _ = io.Copy(io.Discard, request.Body)
		return x.head(http.StatusMisdirectedRequest, "Instance: "+r.options.ID, "Content-Length: 0")
	}
	if x.fault == EndlessRefusal {
		_, _ = io.Copy(io.Discard, request.Body)
		return x.head(http.StatusServiceUnavailable, "Not-Run: 1", "Transfer-Encoding: chunked") && r.flood(x, "5\r\nfull \r\n")
	}
	if x.fault == Full || !r.begin(x) {
		refused[request.Header.Get("Request-Id")] = true
		_, _ = io.Copy(io.Discard, request.Body)
		return x.head(http.StatusServiceUnavailable, "Not-Run: 1", "Content-Length: 0")
	}
	defer r.end()
	if !x.repeatRefusal() {
		return false
	}
	if x.fault == Early {
		if !x.plain("early") {
			return false
		}
	}
	if x.fault == EarlyReset || x.fault == EarlyClose {
		x.breakOffEarly()
		return false
	}
	if isEarlyUnframed(x.fault) && !r.answerEarly(x) {
		return false
	}
	body, err := io.ReadAll(request.Body)
	r.mu.Lock()
	x.run.Body = string(body)
	r.mu.Unlock()
	if err != nil || x.fault == Early {
		return err == nil
	}
	if isEarlyUnframed(x.fault) {
		return false
	}
	if isDeath(x.fault) {
		r.die(x, x.fault, reader, func() {})
		return false
	}
	if r.options.Deadly != "" && strings.HasPrefix(string(body), r.options.Deadly) {
		r.die(x, r.options.Death, reader, func() {
			if r.options.Ended != nil {
				r.options.Ended(string(body))
			}
		})
		return false
	}
	if r.isAbandoned(x, reader) {
		return false
	}
	if x.fault == CutHead {
		r.mu.Lock()
		n := r.headBytes
		r.mu.Unlock()
		head := Head(x.request.Header.Get("Request-Id"))
		_, _ = io.WriteString(x.conn, head[:min(n, len(head))])
		return false
	}
	if !r.sendInterim(x) {
		return false
	}
	if x.fault == OddStatus {
		return r.answerOddly(x)
	}
	if x.fault == Raw {
		r.answerRaw(x)
		return false
	}
	if x.fault == EndlessHead {
		return x.head(http.StatusOK, "Endless: ") && r.flood(x, "head")
	}
	if x.fault == Dripping {
		return x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream") && r.drip(x)
	}
	isStream := strings.Contains(request.Header.Get("Accept"), "text/event-stream")
	switch {
	case x.fault == EndlessBody && isStream:
		return x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Transfer-Encoding: chunked") && r.flood(x, "8\r\ndata: x\n\r\n")
	case x.fault == EndlessBody:
		return x.head(http.StatusOK, x.stamp()) && r.flood(x, "body")
	case isStream:
		return r.stream(x)
	}
	return r.spoiled(x)
}

func (r *Replica) nextFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return r.always
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

// begin takes a slot and notes the run.
func (r *Replica) begin(x *exchange) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Slots > 0 && r.busy >= r.options.Slots {
		return false
	}
	r.busy++
	x.run = &Run{
		RequestID: x.request.Header.Get("Request-Id"),
		Method:    x.request.Method,
		URI:       x.request.RequestURI,
		Header:    x.request.Header.Clone(),
	}
	r.runs = append(r.runs, x.run)
	return true
}

func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// isAbandoned lets the work time pass and says whether the caller left.
func (r *Replica) isAbandoned(x *exchange, reader *bufio.Reader) bool {
	work := r.options.Work
	if x.fault == Silent {
		work = time.Hour
	}
	if work <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), work)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = x.conn.SetReadDeadline(time.Unix(1, 0)) })
	_, err := reader.Peek(1)
	stop()
	_ = x.conn.SetReadDeadline(time.Time{})
	left := err != nil && ctx.Err() == nil
	r.mu.Lock()
	x.run.Abandoned = left
	r.mu.Unlock()
	return left
}

// Head returns the head of an answer of 9 bytes, as CutHead sends a part of it.
func Head(requestID string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + requestID + "\r\nServer-Stamp: stamp-" + requestID + "\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\n"
}

// head writes the header of an answer. It returns false if that failed.
func (x *exchange) head(status int, lines ...string) bool {
	return x.headFor(x.request.Header.Get("Request-Id"), status, lines...)
}

func (x *exchange) headFor(id string, status int, lines ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), id)
	if x.limit != "" {
		b.WriteString("Server-Limit: " + x.limit + "\r\n")
	}
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	_, err := io.WriteString(x.conn, b.String())
	return err == nil
}

func (x *exchange) stamp() string { return "Server-Stamp: stamp-" + x.request.Header.Get("Request-Id") }

func (x *exchange) plain(body string) bool {
	if !x.head(http.StatusOK, x.stamp(), "Content-Length: "+strconv.Itoa(len(body))) {
		return false
	}
	_, err := io.WriteString(x.conn, body)
	return err == nil
}

// spoiled answers plainly, with the exchange's fault.
func (r *Replica) spoiled(x *exchange) bool {
	body := "answer to " + x.request.Header.Get("Request-Id")
	length := "Content-Length: " + strconv.Itoa(len(body))
	switch x.fault {
	case Lost:
		return false
	case Reset:
		reset(x.conn)
		return false
	case Cut:
		x.head(http.StatusOK, x.stamp(), length)
		_, _ = io.WriteString(x.conn, body[:len(body)/2])
		return false
	case Garbled:
		_, _ = io.WriteString(x.conn, "\x00\x01not an answer\r\n\r\n")
		return false
	case Extra:
		return x.plain(body) && x.other()
	case Stray:
		return x.other() && x.plain(body)
	case Unframed:
		x.head(http.StatusOK, x.stamp())
		_, _ = io.WriteString(x.conn, body)
		return false
	case LeavingUnframed:
		x.head(http.StatusOK, x.stamp(), "Server-Leaving: 1")
		_, _ = io.WriteString(x.conn, body)
		r.kill()
		return false
	case Encoded:
		x.head(http.StatusOK, x.stamp(), "Content-Encoding: gzip", length)
		_, err := io.WriteString(x.conn, body)
		return err == nil
	case Leaving:
		if !x.head(http.StatusOK, x.stamp(), "Server-Leaving: 1", length) {
			return false
		}
		_, err := io.WriteString(x.conn, body)
		return err == nil
	case Closing:
		x.head(http.StatusOK, x.stamp(), "Connection: close", length)
		_, _ = io.WriteString(x.conn, body)
		return false
	case HalfClosed:
		x.plain(body)
		return false
	case Failing:
		if !x.head(http.StatusInternalServerError, x.stamp(), length) {
			return false
		}
		_, err := io.WriteString(x.conn, body)
		return err == nil
	}
	return x.plain(body)
}

// other sends an answer to another request.
func (x *exchange) other() bool {
	const body = "answer to another request"
	if !x.headFor("another", http.StatusOK, "Server-Stamp: other", "Content-Length: "+strconv.Itoa(len(body))) {
		return false
	}
	_, err := io.WriteString(x.conn, body)
	return err == nil
}

// stream answers with events whose IDs follow the last one that the caller
// has.
func (r *Replica) stream(x *exchange) bool {
	first := 1
	if last, err := strconv.Atoi(x.request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	switch x.fault {
	case Lost, Silent:
		return false
	case Reset:
		reset(x.conn)
		return false
	case Garbled:
		_, _ = io.WriteString(x.conn, "\x00garbage")
		return false
	case Failing, Encoded:
		return r.spoiled(x)
	case JSONResume, HTMLResume, EmptyResume, RestartedResume, NoContentResume:
		return x.spoiledResume(r.options.Events)
	case HeadInside, TextInside:
		return x.errorInside(first, r.options.Events)
	}
	if !x.head(http.StatusOK, x.stamp(), "Content-Type: text/event-stream", "Transfer-Encoding: chunked") {
		return false
	}
	for i := first; i <= r.options.Events; i++ {
		if x.fault == Cut && i == (first+r.options.Events)/2+1 {
			x.chunk(fmt.Sprintf("id: %d\nda", i))
			reset(x.conn)
			return false
		}
		if !x.chunk(r.event(i)) {
			return false
		}
		select {
		case <-time.After(r.options.Pause):
		case <-r.down:
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// event returns an event of a stream.
func (r *Replica) event(i int) string {
	if r.options.Version == "" {
		return fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)
	}
	return fmt.Sprintf("id: %d\nversion: %s\ndata: part %d\n\n", i, r.options.Version, i)
}

func (x *exchange) chunk(data string) bool {
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}
