package peer

import (
	"context"

	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// maxHistoryTurns bounds the turns that a client takes for one history.
const maxHistoryTurns = 100_000

// programs is a client for the programs of one host.
type programs struct {
	client *Client
	host   string
}

var _ port.Programs = (*programs)(nil)

// Programs implements port.Peers.
func (c *Client) Programs(host string) port.Programs {
	return &programs{client: c, host: host}
}

func (p *programs) call(ctx context.Context, name string, exchange func(context.Context, pb.DRPCPeerClient) error) error {
	return p.client.call(ctx, slotKey{host: p.host, lane: laneProgram}, name, exchange)
}

// Open implements port.Programs.
func (p *programs) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	var view port.ProgramView
	err := p.call(ctx, "Open", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		reply, err := rpc.Open(ctx, specToProto(ctx, spec))
		if err != nil {
			return err
		}
		view, err = programOf("Open", reply, "")
		return err
	})
	return view, err
}

// Program implements port.Programs.
func (p *programs) Program(ctx context.Context, id string) (port.ProgramView, error) {
	var view port.ProgramView
	err := p.call(ctx, "Program", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		reply, err := rpc.Program(ctx, &pb.ProgramRequest{ProgramId: id, TimeoutMs: timeLeft(ctx)})
		if err != nil {
			return err
		}
		view, err = programOf("Program", reply, id)
		return err
	})
	return view, err
}

// End implements port.Programs.
func (p *programs) End(ctx context.Context, id string) (port.ProgramView, error) {
	var view port.ProgramView
	err := p.call(ctx, "End", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		reply, err := rpc.End(ctx, &pb.ProgramRequest{ProgramId: id, TimeoutMs: timeLeft(ctx)})
		if err != nil {
			return err
		}
		view, err = programOf("End", reply, id)
		return err
	})
	return view, err
}

// programOf returns the view in a reply, which must be of program id unless
// id is empty.
func programOf(call string, reply *pb.ProgramReply, id string) (port.ProgramView, error) {
	switch o := reply.GetOutcome().(type) {
	case *pb.ProgramReply_Program:
		got := o.Program.GetProgramId()
		if got == "" || (id != "" && got != id) {
			return port.ProgramView{}, &MalformedMessageError{Call: call, Reason: "another program"}
		}
		return programFromProto(o.Program), nil
	case *pb.ProgramReply_Fault:
		return port.ProgramView{}, faultFromProto(o.Fault)
	case *pb.ProgramReply_NotOwner:
		return port.ProgramView{}, notOwnerFromProto(o.NotOwner)
	}
	return port.ProgramView{}, &MalformedMessageError{Call: call, Reason: "no outcome"}
}

// Answer implements port.Programs.
func (p *programs) Answer(ctx context.Context, id string, seq int64) (answer port.Answer, running bool, err error) {
	err = p.call(ctx, "Answer", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		request := &pb.AnswerRequest{ProgramId: id, Seq: seq, TimeoutMs: timeLeft(ctx)}
		reply, err := rpc.Answer(ctx, request)
		if err != nil {
			return err
		}
		answer, running, err = answerOf(reply, id, seq)
		return err
	})
	return answer, running, err
}

func answerOf(reply *pb.AnswerReply, id string, seq int64) (port.Answer, bool, error) {
	switch o := reply.GetOutcome().(type) {
	case *pb.AnswerReply_Answer:
		a := o.Answer
		if a.GetProgramId() != id || a.GetSeq() != seq || !isJSON(a.GetOutput()) {
			return port.Answer{}, false, &MalformedMessageError{Call: "Answer", Reason: "another answer"}
		}
		return answerFromProto(a), false, nil
	case *pb.AnswerReply_Running:
		return port.Answer{}, true, nil
	case *pb.AnswerReply_Fault:
		return port.Answer{}, false, faultFromProto(o.Fault)
	case *pb.AnswerReply_NotOwner:
		return port.Answer{}, false, notOwnerFromProto(o.NotOwner)
	}
	return port.Answer{}, false, &MalformedMessageError{Call: "Answer", Reason: "no outcome"}
}

// History implements port.Programs.
func (p *programs) History(ctx context.Context, id string) ([]port.Turn, error) {
	var turns []port.Turn
	err := p.call(ctx, "History", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		stream, err := rpc.History(ctx, &pb.ProgramRequest{ProgramId: id, TimeoutMs: timeLeft(ctx)})
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		turns, err = receiveTurns(stream)
		return err
	})
	return turns, err
}

func receiveTurns(stream pb.DRPCPeer_HistoryClient) ([]port.Turn, error) {
	turns := []port.Turn{}
	for len(turns) <= maxHistoryTurns {
		reply, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		switch e := reply.GetEvent().(type) {
		case *pb.HistoryReply_Turn:
			if !isJSON(e.Turn.GetInput()) || !isJSON(e.Turn.GetOutput()) {
				return nil, &MalformedMessageError{Call: "History", Reason: "turn is not JSON"}
			}
			turns = append(turns, turnFromProto(e.Turn))
		case *pb.HistoryReply_End:
			if e.End.GetTurns() != int64(len(turns)) {
				return nil, &MalformedMessageError{Call: "History", Reason: "turns are missing"}
			}
			return turns, nil
		case *pb.HistoryReply_Fault:
			return nil, faultFromProto(e.Fault)
		case *pb.HistoryReply_NotOwner:
			return nil, notOwnerFromProto(e.NotOwner)
		default:
			return nil, &MalformedMessageError{Call: "History", Reason: "no event"}
		}
	}
	return nil, &MalformedMessageError{Call: "History", Reason: "too many turns"}
}

// Call implements port.Programs.
func (p *programs) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	var answer port.Answer
	err := p.call(ctx, "Call", func(ctx context.Context, rpc pb.DRPCPeerClient) error {
		stream, err := rpc.Call(ctx, callToProto(ctx, call))
		if err != nil {
			return err
		}
		answer, err = receiveAnswer(stream, call, sink)
		if err == nil || isOutcome(err) {
			_ = stream.Close()
		}
		return err
	})
	return answer, err
}

func receiveAnswer(stream pb.DRPCPeer_CallClient, call port.Call, sink port.Sink) (port.Answer, error) {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return port.Answer{}, err
		}
		switch e := reply.GetEvent().(type) {
		case *pb.CallReply_Delta:
			if err := deliver(e.Delta, sink); err != nil {
				return port.Answer{}, err
			}
		case *pb.CallReply_Answer:
			if wrong := checkAnswer(e.Answer, call); wrong != "" {
				return port.Answer{}, &MalformedMessageError{Call: "Call", Reason: wrong}
			}
			return answerFromProto(e.Answer), nil
		case *pb.CallReply_Fault:
			return port.Answer{}, faultFromProto(e.Fault)
		case *pb.CallReply_NotOwner:
			return port.Answer{}, notOwnerFromProto(e.NotOwner)
		default:
			return port.Answer{}, &MalformedMessageError{Call: "Call", Reason: "no event"}
		}
	}
}

func deliver(d *pb.Delta, sink port.Sink) error {
	if d.GetOffset() < 0 {
		return &MalformedMessageError{Call: "Call", Reason: "negative offset"}
	}
	if sink == nil {
		return nil
	}
	if err := sink(port.Delta{Offset: d.GetOffset(), Text: d.GetText()}); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

// checkAnswer says what is wrong with the answer to a call, or returns "".
func checkAnswer(a *pb.Answer, call port.Call) string {
	switch {
	case a.GetProgramId() != call.ProgramID:
		return "answer of another program"
	case a.GetSeq() != call.Seq:
		return "answer of another call"
	case a.GetRequestId() != call.RequestID:
		return "answer of another request"
	case !isJSON(a.GetOutput()):
		return "answer is not JSON"
	}
	return ""
}
