package peer

import (
	"context"
	"time"

	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

func specToProto(ctx context.Context, s port.ProgramSpec) *pb.OpenRequest {
	return &pb.OpenRequest{
		Firm:         s.Organisation,
		Agent:        s.Agent,
		Class:        s.Class,
		BudgetTokens: s.BudgetTokens,
		DeadlineMs:   s.Deadline.Milliseconds(),
		Parent:       s.Parent,
		RequestId:    s.RequestID,
		TimeoutMs:    timeoutMillis(ctx),
	}
}

func specFromProto(m *pb.OpenRequest) port.ProgramSpec {
	return port.ProgramSpec{
		Organisation: m.GetFirm(),
		Agent:        m.GetAgent(),
		Class:        m.GetClass(),
		BudgetTokens: m.GetBudgetTokens(),
		Deadline:     time.Duration(m.GetDeadlineMs()) * time.Millisecond,
		Parent:       m.GetParent(),
		RequestID:    m.GetRequestId(),
	}
}

func callToProto(ctx context.Context, c port.Call) *pb.CallRequest {
	return &pb.CallRequest{
		ProgramId:     c.ProgramID,
		Seq:           c.Seq,
		RequestId:     c.RequestID,
		Kind:          string(c.Kind),
		Model:         c.Model,
		MaxTokens:     c.MaxTokens,
		Stream:        c.Stream,
		Service:       c.Service,
		Operation:     c.Operation,
		Idempotent:    c.Idempotent,
		Input:         c.Input,
		CallTimeoutMs: c.Timeout.Milliseconds(),
		TimeoutMs:     timeoutMillis(ctx),
	}
}

func callFromProto(m *pb.CallRequest) port.Call {
	return port.Call{
		ProgramID:  m.GetProgramId(),
		Seq:        m.GetSeq(),
		RequestID:  m.GetRequestId(),
		Kind:       port.Kind(m.GetKind()),
		Model:      m.GetModel(),
		MaxTokens:  m.GetMaxTokens(),
		Stream:     m.GetStream(),
		Service:    m.GetService(),
		Operation:  m.GetOperation(),
		Idempotent: m.GetIdempotent(),
		Input:      rawJSON(m.GetInput()),
		Timeout:    time.Duration(m.GetCallTimeoutMs()) * time.Millisecond,
	}
}
