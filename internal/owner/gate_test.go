package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"

	"google.golang.org/protobuf/proto"
)

// wrongOutput is the output of an answer to another request.
const wrongOutput = "somebody else's"

// gate is a proxy between one node and the platform. A paused gate blocks all
// traffic, as in a paused process; a disconnected one fails it.
type gate struct {
	port.Engine
	log     port.Log
	service port.Service

	mu           sync.Mutex
	paused       chan struct{}
	disconnected bool
	// onAppend and onInvoke run before the request is forwarded.
	onAppend func([]*record.Record)
	onInvoke func(port.ServiceCall)
	// afterInvoke runs when a service has answered.
	afterInvoke func(port.ServiceCall)
	// duplicateAppends forwards each append twice.
	duplicateAppends bool
	// lateAppendDelay, if set, fails each append as ambiguous and forwards it after
	// this delay.
	lateAppendDelay time.Duration
	// logUnreachable fails the traffic to the log only. changePage changes the
	// results of reads.
	logUnreachable bool
	changePage     func(port.Page) port.Page
	// extraOutputTokens is added to the usage that engines report.
	extraOutputTokens int64
	// wrongAnswers is how many of the next answers carry another request's ID.
	wrongAnswers int
	// failEvictions makes evictions fail.
	failEvictions bool
	appends       int
	bytes         int
}

func newGate(c *cluster) *gate {
	return &gate{Engine: c.fleet.EngineClient(), log: c.log, service: c.fleet.ServiceClient()}
}

// pause blocks all traffic.
func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

// resume unblocks all traffic.
func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// disconnect fails all further traffic.
func (g *gate) disconnect() {
	g.mu.Lock()
	g.disconnected = true
	g.mu.Unlock()
	g.resume()
}

// pass waits while the gate is paused, regardless of contexts, as a paused process
// does not react to them. It returns false if the gate is disconnected.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		closed, severed := g.paused, g.disconnected
		g.mu.Unlock()
		if closed == nil {
			return !severed
		}
		<-closed
	}
}

func (g *gate) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	g.mu.Lock()
	hook, twice, orphan := g.onAppend, g.duplicateAppends, g.lateAppendDelay
	g.appends++
	for _, r := range records {
		g.bytes += len(r)
	}
	g.mu.Unlock()
	if hook != nil {
		hook(decodeAll(records))
	}
	if !g.pass() || g.isLogUnreachable() {
		return 0, &port.LogError{Op: "append", Stream: stream, Ambiguous: true}
	}
	if orphan > 0 {
		go func() {
			time.Sleep(orphan)
			_, _ = g.log.Append(context.Background(), stream, records)
		}()
		return 0, &port.LogError{Op: "append", Stream: stream, Ambiguous: true}
	}
	if twice {
		_, _ = g.log.Append(ctx, stream, records)
	}
	return g.log.Append(ctx, stream, records)
}

func decodeAll(records [][]byte) []*record.Record {
	var all []*record.Record
	for _, data := range records {
		r := &record.Record{}
		if proto.Unmarshal(data, r) == nil {
			all = append(all, r)
		}
	}
	return all
}

func (g *gate) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.Page, error) {
	if !g.pass() {
		return port.Page{}, &port.LogError{Op: "read", Stream: stream}
	}
	if g.isLogUnreachable() {
		time.Sleep(appendTime)
		return port.Page{}, &port.LogError{Op: "read", Stream: stream}
	}
	page, err := g.log.Read(ctx, stream, from, wait)
	if !g.pass() || g.isLogUnreachable() {
		return port.Page{}, &port.LogError{Op: "read", Stream: stream}
	}
	g.mu.Lock()
	mangle := g.changePage
	g.mu.Unlock()
	if err == nil && mangle != nil {
		page = mangle(page)
	}
	return page, err
}

func (g *gate) isLogUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.logUnreachable
}

func (g *gate) Invoke(ctx context.Context, target port.Target, call port.ServiceCall) (port.ServiceResult, error) {
	g.mu.Lock()
	before, after := g.onInvoke, g.afterInvoke
	g.mu.Unlock()
	if before != nil {
		before(call)
	}
	refused := &port.TargetError{Target: target.Name, Failure: port.FailureRefused}
	if !g.pass() {
		return port.ServiceResult{}, refused
	}
	if !call.SendDeadline.IsZero() && time.Now().After(call.SendDeadline) {
		return port.ServiceResult{}, refused
	}
	result, err := g.service.Invoke(ctx, target, call)
	if g.takeWrongAnswer() {
		result.RequestID = "another"
		result.Output = []byte(`"` + wrongOutput + `"`)
	}
	if after != nil {
		after(call)
	}
	if !g.pass() {
		return port.ServiceResult{}, &port.TargetError{Target: target.Name, Failure: port.FailureBroken}
	}
	return result, err
}

func (g *gate) Outcome(ctx context.Context, target port.Target, service, id string) (port.ServiceResult, bool, bool, error) {
	if !g.pass() {
		return port.ServiceResult{}, false, false, &port.TargetError{Target: target.Name, Failure: port.FailureRefused}
	}
	return g.service.Outcome(ctx, target, service, id)
}

func (g *gate) Generate(ctx context.Context, target port.Target, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	if !g.pass() {
		return port.ModelResult{}, &port.TargetError{Target: target.Name, Failure: port.FailureRefused}
	}
	result, err := g.Engine.Generate(ctx, target, call, sink)
	if !g.pass() {
		return port.ModelResult{}, &port.TargetError{Target: target.Name, Failure: port.FailureBroken}
	}
	g.mu.Lock()
	result.Usage.OutputTokens += g.extraOutputTokens
	g.mu.Unlock()
	if g.takeWrongAnswer() {
		result.RequestID = "another"
	}
	return result, err
}

func (g *gate) takeWrongAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wrongAnswers == 0 {
		return false
	}
	g.wrongAnswers--
	return true
}

func (g *gate) Evict(ctx context.Context, target port.Target, programID string) error {
	g.mu.Lock()
	keep := g.failEvictions
	g.mu.Unlock()
	if !g.pass() || keep {
		return &port.TargetError{Target: target.Name, Failure: port.FailureBroken}
	}
	return g.Engine.Evict(ctx, target, programID)
}

// set changes the gate's fields under its lock.
func (g *gate) set(change func(*gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

func encodeAll(records []*record.Record) [][]byte {
	var all [][]byte
	for _, r := range records {
		if data, err := proto.Marshal(r); err == nil {
			all = append(all, data)
		}
	}
	return all
}
