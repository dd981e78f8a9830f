package owner

import (
	"github.com/juju/errors"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// fault converts an error of a running call into the error that its callers
// receive: a *fault.Fault or *port.NotOwnerError.
func (r *running) fault(err error) error {
	var n *port.NotOwnerError
	if errors.As(err, &n) {
		// The next owner knows the intent of a non-idempotent call, and resolves
		// it when the request is sent again.
		return &port.NotOwnerError{Partition: n.Partition, Owner: n.Owner, MayHaveRun: r.run() != fault.NotRun}
	}
	run := r.run()
	if f, ok := fault.As(err); ok {
		f = f.WithRequest(r.call.RequestID)
		if f.Run == fault.NotRun {
			f.Run = run
		}
		return f
	}
	var te *port.TargetError
	switch {
	case r.partition.ownershipLost(r.epoch):
		return r.fault(&port.NotOwnerError{Partition: r.partition.id})
	case r.ctx.Err() != nil && r.partition.hasClosed(r.call.ProgramID):
		f := fault.New(fault.ProgramStopped, run, "the program has ended")
		return f.WithRequest(r.call.RequestID)
	case r.ctx.Err() != nil:
		return timedOut(run).WithRequest(r.call.RequestID).WithCause(err)
	case errors.As(err, &te):
		f := fault.New(fault.TargetFailed, run, "no target gave a whole answer")
		return f.WithRequest(r.call.RequestID).WithRetryAfter(retryAfter).WithCause(err)
	}
	return fault.New(fault.Internal, run, "internal failure").WithRequest(r.call.RequestID).WithCause(err)
}
