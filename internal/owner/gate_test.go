package owner

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"

	"google.golang.org/protobuf/proto"
)

// crossedOutput is what the answer to another request says.
const crossedOutput = "somebody else's"

// gate stands between one node and the platform. A closed gate holds all
// traffic, as a paused process does; a severed one fails it.
type gate struct {
	port.Engine
	log     port.Log
	service port.Service

	mu      sync.Mutex
	closed  chan struct{}
	severed bool
	// onAppend and onInvoke run before the traffic goes on.
	onAppend func([]*record.Record)
	onInvoke func(port.ServiceCall)
	// afterInvoke runs when a service has answered.
	afterInvoke func(port.ServiceCall)
	// twice sends each append a second time.
	twice bool
	// orphan makes appends lose their answers with this delay of effect.
	orphan time.Duration
	// cut fails the log's traffic only; mangle changes the answers to reads.
	cut    bool
	mangle func(port.Page) port.Page
	// inflate adds to the usage that engines report.
	inflate int64
	// crossed makes the next answers carry another request's ID.
	crossed int
	// keepKV makes evictions fail.
	keepKV  bool
	appends int
	bytes   int
}

func newGate(c *cluster) *gate {
	return &gate{Engine: c.fleet.EngineClient(), log: c.log, service: c.fleet.ServiceClient()}
}

// hold closes the gate.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// open lets all traffic go on.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// sever fails all traffic from now on.
func (g *gate) sever() {
	g.mu.Lock()
	g.severed = true
	g.mu.Unlock()
	g.open()
}

// pass waits while the gate is closed; the process takes no notice of its
// contexts meanwhile.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		closed, severed := g.closed, g.severed
		g.mu.Unlock()
		if closed == nil {
			return !severed
		}
		<-closed
	}
}

func (g *gate) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	g.mu.Lock()
	hook, twice, orphan := g.onAppend, g.twice, g.orphan
	g.appends++
	for _, r := range records {
		g.bytes += len(r)
	}
	g.mu.Unlock()
	if hook != nil {
		hook(decodeAll(records))
	}
	if !g.pass() || g.isCut() {
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
	if g.isCut() {
		time.Sleep(appendTime)
		return port.Page{}, &port.LogError{Op: "read", Stream: stream}
	}
	page, err := g.log.Read(ctx, stream, from, wait)
	if !g.pass() || g.isCut() {
		return port.Page{}, &port.LogError{Op: "read", Stream: stream}
	}
	g.mu.Lock()
	mangle := g.mangle
	g.mu.Unlock()
	if err == nil && mangle != nil {
		page = mangle(page)
	}
	return page, err
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
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
	if g.cross() {
		result.RequestID = "another"
		result.Output = []byte(`"` + crossedOutput + `"`)
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
	result.Usage.OutputTokens += g.inflate
	g.mu.Unlock()
	if g.cross() {
		result.RequestID = "another"
	}
	return result, err
}

func (g *gate) cross() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crossed == 0 {
		return false
	}
	g.crossed--
	return true
}

func (g *gate) Evict(ctx context.Context, target port.Target, programID string) error {
	g.mu.Lock()
	keep := g.keepKV
	g.mu.Unlock()
	if !g.pass() || keep {
		return &port.TargetError{Target: target.Name, Failure: port.FailureBroken}
	}
	return g.Engine.Evict(ctx, target, programID)
}

// set changes the gate's switches.
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
