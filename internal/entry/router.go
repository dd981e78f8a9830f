// Package entry routes requests for any program from any host. It finds the owner of the
// program's partition, serves the request locally or forwards it, and retries at another
// host when the ownership moves or a peer fails.
//
// Retries are always safe, since the owner of a partition attaches a repeated (program,
// seq, request ID) to the running call or answers it from its record. Two guarantees need
// care across retries, and package entry keeps them: each byte of a streamed answer is
// sent once, and a request that is reported as not run did not run.
package entry

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// The timeouts of requests without their own.
const (
	defaultCallTimeout  = 60 * time.Second
	defaultOtherTimeout = 10 * time.Second
	// replyGrace is how much longer than a call's timeout the router waits, so that
	// the owner's own fault arrives first.
	replyGrace = 500 * time.Millisecond
)

// Params holds the dependencies of a Router. Scope may be nil.
type Params struct {
	Config  *config.Holder
	Members port.Members
	// Local serves the programs that this host owns.
	Local port.Programs
	Peers port.Peers
	Log   logr.Logger
	Scope tally.Scope
}

// Router implements port.Programs for the programs of all hosts.
type Router struct {
	config  *config.Holder
	members port.Members
	local   port.Programs
	peers   port.Peers
	log     logr.Logger
	metrics *metrics
}

var _ port.Programs = (*Router)(nil)

// New returns a Router.
func New(p Params) *Router {
	return &Router{
		config:  p.Config,
		members: p.Members,
		local:   p.Local,
		peers:   p.Peers,
		log:     p.Log,
		metrics: newMetrics(p.Scope),
	}
}

// Open implements port.Programs.
func (r *Router) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	req := request{op: "open", key: rootKey(spec), id: spec.RequestID, timeout: defaultOtherTimeout}
	return route(ctx, r, req, func(ctx context.Context, p port.Programs) (port.ProgramView, error) {
		return p.Open(ctx, spec)
	})
}

// rootKey returns the root key of the program tree that a new program belongs to.
func rootKey(spec port.ProgramSpec) string {
	if spec.Parent != "" {
		return partition.RootKey(spec.Parent)
	}
	return partition.NewRootKey(spec.Organisation, spec.RequestID)
}

// Call implements port.Programs. Each byte of a streamed answer is passed to sink once,
// whichever hosts send it.
func (r *Router) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	started := time.Now()
	timeout := r.callTimeout(call)
	stream := &deltaStream{sink: sink, diverged: r.metrics.diverged}
	req := request{
		op:          "call",
		key:         partition.RootKey(call.ProgramID),
		id:          call.RequestID,
		timeout:     timeout,
		grace:       replyGrace,
		notRunHolds: r.isRecordedBeforeDispatch(call),
		callerGone:  stream.callerGone,
	}
	answer, err := route(ctx, r, req, func(ctx context.Context, p port.Programs) (port.Answer, error) {
		attempt := call
		attempt.Timeout = max(time.Millisecond, timeout-time.Since(started))
		return p.Call(ctx, attempt, stream.attempt())
	})
	if err == nil && call.Kind == port.KindModel {
		err = stream.complete(answer)
	}
	return answer, err
}

// Program implements port.Programs.
func (r *Router) Program(ctx context.Context, id string) (port.ProgramView, error) {
	return route(ctx, r, readRequest("program", id), func(ctx context.Context, p port.Programs) (port.ProgramView, error) {
		return p.Program(ctx, id)
	})
}

// History implements port.Programs.
func (r *Router) History(ctx context.Context, id string) ([]port.Turn, error) {
	return route(ctx, r, readRequest("history", id), func(ctx context.Context, p port.Programs) ([]port.Turn, error) {
		return p.History(ctx, id)
	})
}

// Answer implements port.Programs.
func (r *Router) Answer(ctx context.Context, id string, seq int64) (port.Answer, bool, error) {
	type recorded struct {
		answer  port.Answer
		running bool
	}
	out, err := route(ctx, r, readRequest("answer", id), func(ctx context.Context, p port.Programs) (recorded, error) {
		answer, running, err := p.Answer(ctx, id, seq)
		return recorded{answer: answer, running: running}, err
	})
	return out.answer, out.running, err
}

// End implements port.Programs.
func (r *Router) End(ctx context.Context, id string) (port.ProgramView, error) {
	return route(ctx, r, readRequest("end", id), func(ctx context.Context, p port.Programs) (port.ProgramView, error) {
		return p.End(ctx, id)
	})
}

func readRequest(op, id string) request {
	return request{op: op, key: partition.RootKey(id), timeout: defaultOtherTimeout}
}

// callTimeout returns the timeout of the call itself, or else that of its model, operation
// or service in the configuration, or else defaultCallTimeout.
func (r *Router) callTimeout(call port.Call) time.Duration {
	if call.Timeout > 0 {
		return call.Timeout
	}
	snapshot := r.config.Current()
	if snapshot == nil {
		return defaultCallTimeout
	}
	if ms := configuredTimeout(snapshot, call); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultCallTimeout
}

func configuredTimeout(s *config.Snapshot, call port.Call) int64 {
	if call.Kind == port.KindModel {
		if m := s.Model(call.Model); m != nil {
			return m.TimeoutMS
		}
		return 0
	}
	service := s.Service(call.Service)
	if service == nil {
		return 0
	}
	for _, o := range service.Operations {
		if o.Name == call.Operation && o.TimeoutMS > 0 {
			return o.TimeoutMS
		}
	}
	return service.TimeoutMS
}

// isRecordedBeforeDispatch reports whether the call is recorded in the log before it is
// dispatched. If so, the next owner can prove that it did not run.
func (r *Router) isRecordedBeforeDispatch(call port.Call) bool {
	if call.Kind != port.KindService {
		return false
	}
	s := r.config.Current()
	return s == nil || !call.Idempotent || !s.IsIdempotent(call.Service, call.Operation)
}

// noConfigFault returns the refusal of a host without a configuration.
func noConfigFault(id string) *fault.Fault {
	return fault.New(fault.NotReady, fault.NotRun, "host has no configuration yet").
		WithRequest(id).WithRetryAfter(jitteredRetryAfter())
}
