package budgetrpc

import (
	"context"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccausher/internal/gen/spending"
	"yuccausher/internal/port"
)

// maxTransit is how long a request between hosts may be under way: one lost packet is sent
// again in it.
const maxTransit = 300 * time.Millisecond

// Server serves requests of other hosts.
type Server struct{ drpc *drpcserver.Server }

// NewServer returns a server that passes requests to budgets. register adds the
// host's other DRPC services.
func NewServer(budgets port.BudgetServer, register func(drpc.Mux) error, log logr.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, errors.Trace(err)
	}
	if err := spending.DRPCRegisterBudgets(mux, &handler{budgets: budgets}); err != nil {
		return nil, errors.Trace(err)
	}
	ended := func(err error) { log.V(1).Info("Connection from another host ended.", "cause", err.Error()) }
	return &Server{drpc: drpcserver.NewWithOptions(mux, drpcserver.Options{Log: ended})}, nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return errors.Trace(s.drpc.Serve(ctx, l))
}

// handler implements spending.DRPCBudgetsServer.
type handler struct{ budgets port.BudgetServer }

// Reserve implements spending.DRPCBudgetsServer.
func (h *handler) Reserve(ctx context.Context, r *spending.ReserveRequest) (*spending.ReserveReply, error) {
	request := port.LendRequest{
		Reservation: r.Reservation,
		Account:     r.Account,
		Program:     string(r.Program),
		Budget:      r.Budget,
		MaxTokens:   r.Most,
		MinTokens:   r.Least,
		Claimed:     r.Claimed,
		MayLend:     r.MayLend,
		Loans:       decodeLoans(r.Loans),
		MaxWait:     time.Duration(r.PatienceMs) * time.Millisecond,
	}
	request.SilentSince = decodeAge(r.SilenceUs)
	if r.FindingAgeUs > 0 {
		age := time.Duration(r.FindingAgeUs) * time.Microsecond
		request.FoundAt = time.Now().Add(-age - maxTransit)
	}
	answer := h.budgets.Lend(ctx, request)
	reply := &spending.ReserveReply{Loans: encodeLoans(answer.Loans), Writer: answer.Writer, Account: answer.Account, Granted: answer.Granted}
	reply.AnsweredAgeUs, reply.MarkedAgeUs = encodeAge(answer.Contact.AnsweredAt), encodeAge(answer.Contact.MarkedAt)
	switch answer.Decision {
	case port.LendGranted:
		reply.Decision = spending.Decision_DECISION_GRANTED
	case port.LendSpent:
		reply.Decision = spending.Decision_DECISION_SPENT
	case port.LendUnavailable:
		reply.Decision = spending.Decision_DECISION_AWAY
	default:
		reply.Decision = spending.Decision_DECISION_BUSY
	}
	return reply, nil
}

// Settle implements spending.DRPCBudgetsServer.
func (h *handler) Settle(ctx context.Context, r *spending.SettleRequest) (*spending.SettleReply, error) {
	if err := h.budgets.SettleLoan(ctx, r.Reservation, r.Spent); err != nil {
		return nil, errors.Trace(err)
	}
	run := h.budgets.Run()
	return &spending.SettleReply{Writer: run.Writer, AgeUs: max(time.Since(run.StartedAt).Microseconds(), 1)}, nil
}

// Fence implements spending.DRPCBudgetsServer.
func (h *handler) Fence(_ context.Context, r *spending.FenceRequest) (*spending.FenceReply, error) {
	return &spending.FenceReply{Loans: encodeProgramLoans(h.budgets.Fence(int(r.Partition)))}, nil
}

// Note implements spending.DRPCBudgetsServer.
func (h *handler) Note(_ context.Context, r *spending.NoteRequest) (*spending.NoteReply, error) {
	isRecorded := h.budgets.Note(port.BudgetNote{Program: string(r.Program), Loans: decodeLoans(r.Loans), Claimed: r.Claimed, Offset: r.Offset})
	return &spending.NoteReply{Recorded: isRecorded}, nil
}

// KnownLoans implements spending.DRPCBudgetsServer.
func (h *handler) KnownLoans(_ context.Context, r *spending.KnownLoansRequest) (*spending.KnownLoansReply, error) {
	known := h.budgets.KnownLoans(int(r.Partition))
	reply := &spending.KnownLoansReply{Loans: encodeProgramLoans(known.Loans)}
	if !known.Since.IsZero() {
		reply.FollowedMs = max(time.Since(known.Since).Milliseconds(), 1)
	}
	return reply, nil
}
