package port

import "context"

// LendRequest asks another host for tokens of a program's budget.
type LendRequest struct {
	Program string
	Budget  int64
	// Most is the most that the turn may spend.
	Most int64
	// Claimed is how much of the budget the asking host knows to be claimed.
	Claimed int64
	// MayLend allows a reservation without a claim in the shared log, because
	// no asked host reaches it.
	MayLend bool
}

// LendDecision is another host's answer.
type LendDecision int

// The answers to a LendRequest.
const (
	LendGranted LendDecision = iota
	// LendSpent says that the budget does not hold the turn.
	LendSpent
	// LendAway says that the asked host does not reach the shared log either.
	LendAway
	// LendBusy says that the asked host reaches the log and could not claim.
	LendBusy
)

// Lenders are the other hosts, which may reserve tokens for this one.
type Lenders interface {
	// Self returns this host's address, Hosts those of the others.
	Self() string
	Hosts() []string
	// Reserve asks a host. The reservation that it grants is settled there.
	Reserve(ctx context.Context, host string, r LendRequest) (LendDecision, uint64, error)
	// Settle says what a reservation has spent.
	Settle(ctx context.Context, host string, reservation uint64, spent int64) error
	// Note tells a host how much of a program's budget this one has lent.
	Note(ctx context.Context, host, program string, lent int64) error
}

// Lender answers the requests of other hosts.
type Lender interface {
	Lend(ctx context.Context, r LendRequest) (LendDecision, uint64)
	SettleLoan(reservation uint64, spent int64)
	NoteLoan(program string, lent int64)
}
