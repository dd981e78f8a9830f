package peer

import (
	"errors"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// GarbageError says that a peer's message can't be right: it can't be
// decoded, lacks its content, or answers another request.
type MalformedMessageError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *MalformedMessageError) Error() string {
	return "peer call " + e.Call + " got a wrong message: " + e.Reason
}

// UnimplementedError says that the called host does not offer a call.
type UnimplementedError struct {
	Call string
}

// Error implements error.
func (e *UnimplementedError) Error() string {
	return "peer call " + e.Call + " is not offered"
}

// ClosedError says that the client was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "peer client is closed" }

// sinkError carries an error of the caller's sink past the transport.
type sinkError struct {
	cause error
}

func (e *sinkError) Error() string { return "caller has gone: " + e.cause.Error() }

func (e *sinkError) Unwrap() error { return e.cause }

// isGarbage says whether a failure shows that the other side broke the
// protocol, rather than that a connection ended.
func isGarbage(err error) bool {
	var g *MalformedMessageError
	if errors.As(err, &g) {
		return true
	}
	return errors.Is(err, proto.Error) || drpc.ProtocolError.Has(err)
}
