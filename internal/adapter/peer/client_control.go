package peer

import (
	"context"
	"time"

	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// Gossip implements port.Peers.
func (c *Client) Gossip(ctx context.Context, host string, g port.Gossip) (port.Gossip, error) {
	var out port.Gossip
	err := c.control(ctx, host, "Gossip", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		reply, err := rpc.Gossip(ctx, gossipToProto(g, time.Now()))
		if err != nil {
			return err
		}
		if wrong := validateGossip(reply); wrong != "" {
			return &MalformedMessageError{Call: "Gossip", Reason: wrong}
		}
		out = gossipFromProto(reply, time.Now())
		return nil
	})
	return out, err
}

// GossipVia implements port.Peers.
func (c *Client) GossipVia(ctx context.Context, via, host string) (bool, error) {
	var reached bool
	err := c.control(ctx, via, "GossipVia", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		request := &pb.GossipViaRequest{Host: host, TimeoutMs: timeoutMillis(ctx)}
		reply, err := rpc.GossipVia(ctx, request)
		reached = reply.GetReached()
		return err
	})
	return reached, err
}

// Config implements port.Peers. Version zero means that the host has no
// configuration.
func (c *Client) Config(ctx context.Context, host string) (int64, []byte, error) {
	var version int64
	var document []byte
	err := c.control(ctx, host, "Config", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		reply, err := rpc.Config(ctx, &pb.ConfigRequest{})
		if err != nil {
			return err
		}
		if reply.GetVersion() < 0 || (reply.GetVersion() > 0 && len(reply.GetDocument()) == 0) {
			return &MalformedMessageError{Call: "Config", Reason: "version without a document"}
		}
		version, document = reply.GetVersion(), reply.GetDocument()
		return nil
	})
	return version, document, err
}

// RelayAppend implements port.Peers. It returns a *port.LogError if the append
// fails at the other host.
func (c *Client) RelayAppend(ctx context.Context, host, stream string, records [][]byte) (int64, error) {
	var offset int64
	err := c.control(ctx, host, "RelayAppend", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		request := &pb.RelayAppendRequest{Stream: stream, Records: records, TimeoutMs: timeoutMillis(ctx)}
		reply, err := rpc.RelayAppend(ctx, request)
		if err != nil {
			return err
		}
		switch o := reply.GetOutcome().(type) {
		case *pb.RelayAppendReply_Offset:
			offset = o.Offset
			return nil
		case *pb.RelayAppendReply_Failure:
			return logFailureFromProto(o.Failure)
		}
		return &MalformedMessageError{Call: "RelayAppend", Reason: "no outcome"}
	})
	return offset, err
}

// RemoteError carries the text of an error at another host.
type RemoteError struct {
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

func logFailureFromProto(m *pb.LogFailure) *port.LogError {
	return &port.LogError{
		Op:          m.GetOp(),
		Stream:      m.GetStream(),
		Ambiguous:   m.GetAmbiguous(),
		RateLimited: m.GetLimited(),
		Cause:       &RemoteError{Message: m.GetMessage()},
	}
}

func logFailureToProto(e *port.LogError) *pb.LogFailure {
	m := &pb.LogFailure{
		Op:        e.Op,
		Stream:    e.Stream,
		Ambiguous: e.Ambiguous,
		Limited:   e.RateLimited,
	}
	if e.Cause != nil {
		m.Message = e.Cause.Error()
	}
	return m
}
