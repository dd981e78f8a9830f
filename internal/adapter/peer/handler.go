package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcerr"

	"yuccausher/internal/fault"
	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// handler answers the calls of other hosts.
type handler struct {
	Handlers
	metrics *serverMetrics
}

var _ pb.DRPCPeerServer = (*handler)(nil)

func unimplemented(call string) error {
	return drpcerr.WithCode(&UnimplementedError{Call: call}, drpcerr.Unimplemented)
}

// split sorts an error into the two kinds that travel as messages.
func split(err error) (*pb.Fault, *pb.NotOwner) {
	var notOwner *port.NotOwnerError
	if errors.As(err, &notOwner) {
		return nil, notOwnerToProto(notOwner)
	}
	return faultToProto(fault.Of(err)), nil
}

func programReply(v port.ProgramView, err error) *pb.ProgramReply {
	if err == nil {
		return &pb.ProgramReply{Outcome: &pb.ProgramReply_Program{Program: programToProto(v)}}
	}
	f, notOwner := split(err)
	if notOwner != nil {
		return &pb.ProgramReply{Outcome: &pb.ProgramReply_NotOwner{NotOwner: notOwner}}
	}
	return &pb.ProgramReply{Outcome: &pb.ProgramReply_Fault{Fault: f}}
}

// Open implements pb.DRPCPeerServer.
func (h *handler) Open(ctx context.Context, m *pb.OpenRequest) (*pb.ProgramReply, error) {
	if h.Programs == nil {
		return nil, unimplemented("Open")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	return programReply(h.Programs.Open(ctx, specFromProto(m))), nil
}

// Program implements pb.DRPCPeerServer.
func (h *handler) Program(ctx context.Context, m *pb.ProgramRequest) (*pb.ProgramReply, error) {
	if h.Programs == nil {
		return nil, unimplemented("Program")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	return programReply(h.Programs.Program(ctx, m.GetProgramId())), nil
}

// End implements pb.DRPCPeerServer.
func (h *handler) End(ctx context.Context, m *pb.ProgramRequest) (*pb.ProgramReply, error) {
	if h.Programs == nil {
		return nil, unimplemented("End")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	return programReply(h.Programs.End(ctx, m.GetProgramId())), nil
}

// Call implements pb.DRPCPeerServer.
func (h *handler) Call(m *pb.CallRequest, stream pb.DRPCPeer_CallStream) error {
	if h.Programs == nil {
		return unimplemented("Call")
	}
	ctx, cancel := withTimeLeft(stream.Context(), m.GetTimeoutMs())
	defer cancel()
	call := callFromProto(m)
	if !isJSON(call.Input) {
		h.metrics.garbage.Inc(1)
		return stream.Send(callEnd(port.Answer{}, errInput(call)))
	}
	answer, err := h.Programs.Call(ctx, call, deltaSink(call, stream))
	return stream.Send(callEnd(answer, err))
}

func errInput(call port.Call) error {
	return fault.New(fault.InvalidRequest, fault.NotRun, "input is not JSON").WithRequest(call.RequestID)
}

// deltaSink returns a sink that sends to stream, or nil if the caller wants
// no pieces.
func deltaSink(call port.Call, stream pb.DRPCPeer_CallStream) port.Sink {
	if !call.Stream {
		return nil
	}
	return func(d port.Delta) error {
		delta := &pb.Delta{Offset: d.Offset, Text: d.Text}
		return stream.Send(&pb.CallReply{Event: &pb.CallReply_Delta{Delta: delta}})
	}
}

func callEnd(a port.Answer, err error) *pb.CallReply {
	if err == nil {
		return &pb.CallReply{Event: &pb.CallReply_Answer{Answer: answerToProto(a)}}
	}
	f, notOwner := split(err)
	if notOwner != nil {
		return &pb.CallReply{Event: &pb.CallReply_NotOwner{NotOwner: notOwner}}
	}
	return &pb.CallReply{Event: &pb.CallReply_Fault{Fault: f}}
}

// History implements pb.DRPCPeerServer.
func (h *handler) History(m *pb.ProgramRequest, stream pb.DRPCPeer_HistoryStream) error {
	if h.Programs == nil {
		return unimplemented("History")
	}
	ctx, cancel := withTimeLeft(stream.Context(), m.GetTimeoutMs())
	defer cancel()
	turns, err := h.Programs.History(ctx, m.GetProgramId())
	if err != nil {
		return stream.Send(historyFailure(err))
	}
	for _, t := range turns {
		event := &pb.HistoryReply_Turn{Turn: turnToProto(t)}
		if err := stream.Send(&pb.HistoryReply{Event: event}); err != nil {
			return err
		}
	}
	end := &pb.HistoryEnd{Turns: int64(len(turns))}
	return stream.Send(&pb.HistoryReply{Event: &pb.HistoryReply_End{End: end}})
}

func historyFailure(err error) *pb.HistoryReply {
	f, notOwner := split(err)
	if notOwner != nil {
		return &pb.HistoryReply{Event: &pb.HistoryReply_NotOwner{NotOwner: notOwner}}
	}
	return &pb.HistoryReply{Event: &pb.HistoryReply_Fault{Fault: f}}
}

// Answer implements pb.DRPCPeerServer.
func (h *handler) Answer(ctx context.Context, m *pb.AnswerRequest) (*pb.AnswerReply, error) {
	if h.Programs == nil {
		return nil, unimplemented("Answer")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	answer, running, err := h.Programs.Answer(ctx, m.GetProgramId(), m.GetSeq())
	return answerReply(answer, running, err), nil
}

func answerReply(a port.Answer, running bool, err error) *pb.AnswerReply {
	if err != nil {
		f, notOwner := split(err)
		if notOwner != nil {
			return &pb.AnswerReply{Outcome: &pb.AnswerReply_NotOwner{NotOwner: notOwner}}
		}
		return &pb.AnswerReply{Outcome: &pb.AnswerReply_Fault{Fault: f}}
	}
	if running {
		return &pb.AnswerReply{Outcome: &pb.AnswerReply_Running{Running: &pb.Running{}}}
	}
	return &pb.AnswerReply{Outcome: &pb.AnswerReply_Answer{Answer: answerToProto(a)}}
}

// Gossip implements pb.DRPCPeerServer.
func (h *handler) Gossip(ctx context.Context, m *pb.GossipMessage) (*pb.GossipMessage, error) {
	if h.Handlers.Gossip == nil {
		return nil, unimplemented("Gossip")
	}
	if wrong := checkGossip(m); wrong != "" {
		h.metrics.garbage.Inc(1)
		return nil, &MalformedMessageError{Call: "Gossip", Reason: wrong}
	}
	reply, err := h.Handlers.Gossip.Receive(ctx, gossipFromProto(m, time.Now()))
	if err != nil {
		return nil, err
	}
	return gossipToProto(reply, time.Now()), nil
}

// GossipVia implements pb.DRPCPeerServer.
func (h *handler) GossipVia(ctx context.Context, m *pb.GossipViaRequest) (*pb.GossipViaReply, error) {
	if h.Handlers.Gossip == nil {
		return nil, unimplemented("GossipVia")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	reached, err := h.Handlers.Gossip.Reach(ctx, m.GetHost())
	if err != nil {
		return nil, err
	}
	return &pb.GossipViaReply{Reached: reached}, nil
}

// Config implements pb.DRPCPeerServer.
func (h *handler) Config(context.Context, *pb.ConfigRequest) (*pb.ConfigReply, error) {
	if h.Handlers.Config == nil {
		return nil, unimplemented("Config")
	}
	version, document, ok := h.Handlers.Config.Current()
	if !ok {
		return &pb.ConfigReply{}, nil
	}
	return &pb.ConfigReply{Version: version, Document: document}, nil
}

// RelayAppend implements pb.DRPCPeerServer.
func (h *handler) RelayAppend(ctx context.Context, m *pb.RelayAppendRequest) (*pb.RelayAppendReply, error) {
	if h.Log == nil {
		return nil, unimplemented("RelayAppend")
	}
	ctx, cancel := withTimeLeft(ctx, m.GetTimeoutMs())
	defer cancel()
	offset, err := h.Log.Append(ctx, m.GetStream(), m.GetRecords())
	if err == nil {
		return &pb.RelayAppendReply{Outcome: &pb.RelayAppendReply_Offset{Offset: offset}}, nil
	}
	var failure *port.LogError
	if !errors.As(err, &failure) {
		failure = &port.LogError{Op: "append", Stream: m.GetStream(), Ambiguous: true, Cause: err}
	}
	return &pb.RelayAppendReply{Outcome: &pb.RelayAppendReply_Failure{Failure: logFailureToProto(failure)}}, nil
}
