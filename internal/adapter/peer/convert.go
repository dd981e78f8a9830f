package peer

import (
	"context"
	"encoding/json"
	"time"

	"yuccausher/internal/fault"
	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

// timeoutMillis returns the milliseconds until the deadline of ctx, at least one,
// or zero without a deadline.
func timeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// withTimeoutMillis applies a timeout in milliseconds, as returned by
// timeoutMillis, to ctx. Zero means no deadline.
func withTimeoutMillis(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func faultToProto(f *fault.Fault) *pb.Fault {
	m := &pb.Fault{
		Type:         string(f.Type),
		Run:          string(f.Run),
		Message:      f.Message,
		RequestId:    f.RequestID,
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
	for _, field := range f.Fields {
		m.Fields = append(m.Fields, &pb.Field{Path: field.Path, Message: field.Message})
	}
	return m
}

// faultFromProto converts a fault. An unrecognised type becomes internal and an
// unrecognised run state unknown.
func faultFromProto(m *pb.Fault) *fault.Fault {
	f := fault.New(parseFaultType(m.GetType()), parseRun(m.GetRun()), "%s", m.GetMessage())
	f.RequestID = m.GetRequestId()
	f.RetryAfter = time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	for _, field := range m.GetFields() {
		f.Fields = append(f.Fields, fault.Field{Path: field.GetPath(), Message: field.GetMessage()})
	}
	return f
}

func parseFaultType(s string) fault.Type {
	for _, t := range fault.Types {
		if string(t) == s {
			return t
		}
	}
	return fault.Internal
}

func parseRun(s string) fault.Run {
	switch r := fault.Run(s); r {
	case fault.NotRun, fault.Ran:
		return r
	}
	return fault.Unknown
}

func notOwnerToProto(e *port.NotOwnerError) *pb.NotOwner {
	return &pb.NotOwner{Partition: e.Partition, Owner: e.Owner, MayHaveRun: e.MayHaveRun}
}

func notOwnerFromProto(m *pb.NotOwner) *port.NotOwnerError {
	return &port.NotOwnerError{
		Partition:  m.GetPartition(),
		Owner:      m.GetOwner(),
		MayHaveRun: m.GetMayHaveRun(),
	}
}

func programToProto(v port.ProgramView) *pb.Program {
	return &pb.Program{
		ProgramId:      v.ProgramID,
		Firm:           v.Organisation,
		Agent:          v.Agent,
		State:          string(v.State),
		NextSeq:        v.NextSeq,
		SpentTokens:    v.SpentTokens,
		ReservedTokens: v.ReservedTokens,
		TurnDigest:     v.TurnDigest,
	}
}

func programFromProto(m *pb.Program) port.ProgramView {
	return port.ProgramView{
		ProgramID:      m.GetProgramId(),
		Organisation:   m.GetFirm(),
		Agent:          m.GetAgent(),
		State:          port.ProgramState(m.GetState()),
		NextSeq:        m.GetNextSeq(),
		SpentTokens:    m.GetSpentTokens(),
		ReservedTokens: m.GetReservedTokens(),
		TurnDigest:     m.GetTurnDigest(),
	}
}

func usageToProto(u port.Usage) *pb.Usage {
	return &pb.Usage{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.CachedTokens,
		OutputTokens: u.OutputTokens,
	}
}

func usageFromProto(m *pb.Usage) port.Usage {
	return port.Usage{
		PromptTokens: m.GetPromptTokens(),
		CachedTokens: m.GetCachedTokens(),
		OutputTokens: m.GetOutputTokens(),
	}
}

func answerToProto(a port.Answer) *pb.Answer {
	return &pb.Answer{
		ProgramId:  a.ProgramID,
		Seq:        a.Seq,
		RequestId:  a.RequestID,
		Output:     a.Output,
		Usage:      usageToProto(a.Usage),
		Target:     a.Target,
		TurnDigest: a.TurnDigest,
	}
}

func answerFromProto(m *pb.Answer) port.Answer {
	return port.Answer{
		ProgramID:  m.GetProgramId(),
		Seq:        m.GetSeq(),
		RequestID:  m.GetRequestId(),
		Output:     rawJSON(m.GetOutput()),
		Usage:      usageFromProto(m.GetUsage()),
		Target:     m.GetTarget(),
		TurnDigest: m.GetTurnDigest(),
	}
}

func turnToProto(t port.Turn) *pb.Turn {
	return &pb.Turn{
		Seq:        t.Seq,
		RequestId:  t.RequestID,
		Kind:       string(t.Kind),
		Model:      t.Model,
		Service:    t.Service,
		Operation:  t.Operation,
		Input:      t.Input,
		Output:     t.Output,
		Usage:      usageToProto(t.Usage),
		Target:     t.Target,
		TurnDigest: t.TurnDigest,
		Failure:    t.Failure,
	}
}

func turnFromProto(m *pb.Turn) port.Turn {
	return port.Turn{
		Seq:        m.GetSeq(),
		RequestID:  m.GetRequestId(),
		Kind:       port.Kind(m.GetKind()),
		Model:      m.GetModel(),
		Service:    m.GetService(),
		Operation:  m.GetOperation(),
		Input:      rawJSON(m.GetInput()),
		Output:     rawJSON(m.GetOutput()),
		Usage:      usageFromProto(m.GetUsage()),
		Target:     m.GetTarget(),
		TurnDigest: m.GetTurnDigest(),
		Failure:    m.GetFailure(),
	}
}

// rawJSON returns nil for an absent value.
func rawJSON(b []byte) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	return b
}

// isJSON reports whether a value is absent or valid JSON.
func isJSON(b []byte) bool { return len(b) == 0 || json.Valid(b) }
