package peer

import (
	"errors"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// MalformedMessageError reports an invalid message of a peer: it can't be decoded,
// lacks its content, or answers another request.
type MalformedMessageError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *MalformedMessageError) Error() string {
	return "peer call " + e.Call + " received a malformed message: " + e.Reason
}

// UnimplementedError reports that the called host does not implement a call.
type UnimplementedError struct {
	Call string
}

// Error implements error.
func (e *UnimplementedError) Error() string {
	return "peer call " + e.Call + " is not implemented"
}

// ClosedError reports a call on a closed client.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "peer client is closed" }

// sinkError marks an error of the caller's sink, as opposed to one of the
// transport.
type sinkError struct {
	cause error
}

func (e *sinkError) Error() string { return "caller disconnected: " + e.cause.Error() }

func (e *sinkError) Unwrap() error { return e.cause }

// isProtocolViolation reports whether an error shows that the other side violated
// the protocol, rather than that a connection ended.
func isProtocolViolation(err error) bool {
	var g *MalformedMessageError
	if errors.As(err, &g) {
		return true
	}
	return errors.Is(err, proto.Error) || drpc.ProtocolError.Has(err)
}
