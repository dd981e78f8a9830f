package port

import (
	"context"
	"time"
)

// LendRequest asks another host for tokens of a program's budget.
type LendRequest struct {
	// Reservation names the reservation at the asked host. The asking host draws it,
	// so that it can settle one whose grant it has not heard of.
	Reservation uint64
	Program     string
	Budget      int64
	// Most is the most that the turn may spend.
	MaxTokens int64
	// Claimed is how much of the budget the asking host knows to be claimed.
	Claimed int64
	// MayLend allows a reservation without a claim in the shared log, because
	// no asked host reaches it.
	MayLend bool
	// Patience is how long the asked host may take to claim; zero leaves it to
	// that host.
	MaxWait time.Duration
	// Loans are those of the program that the asking host knows of.
	Loans []Loan
}

// Loan is what a host holds of a program's budget with what it has lent while
// the shared log is away. All who know of it may claim it for that host.
type Loan struct {
	// Writer and Sequence are those of the claim to make.
	Writer, Sequence uint64
	Budget, Total    int64
}

// LendDecision is another host's answer.
type LendDecision int

// The answers to a LendRequest.
const (
	LendGranted LendDecision = iota
	// LendSpent says that the budget does not hold the turn.
	LendSpent
	// LendAway says that the asked host does not reach the shared log either.
	LendUnavailable
	// LendBusy says that the asked host reaches the log and could not claim.
	LendBusy
)

// LendAnswer is what a host decided on a LendRequest.
type LendAnswer struct {
	Decision LendDecision
	// Loans are those of the program that the asked host knows of.
	Loans []Loan
}

// HostDownError says that a host took no connection, so that it was asked nothing.
type HostDownError struct {
	Host string
	// Cause is nil if the host was left alone because of an earlier failure.
	Cause error
}

// Error implements error.
func (e *HostDownError) Error() string { return "host " + e.Host + " took no connection" }

// Unwrap returns the cause.
func (e *HostDownError) Unwrap() error { return e.Cause }

// BudgetNote tells what its receiver may not have read in the shared log.
type BudgetNote struct {
	Program string
	Loans   []Loan
	// Claimed is how much of the budget was claimed at an offset of the log;
	// not told if it is zero.
	Claimed int64
	Offset  int64
}

// Lenders are the other hosts, which may reserve tokens for this one.
type BudgetPeers interface {
	// Self returns this host's address, Hosts those of the others.
	Self() string
	Hosts() []string
	// Reserve asks a host. The reservation that it grants is settled there. An error
	// that is no *HostDownError leaves open whether it was granted.
	Reserve(ctx context.Context, host string, r LendRequest) (LendAnswer, error)
	// Settle says what a reservation has spent.
	Settle(ctx context.Context, host string, reservation uint64, spent int64) error
	// Note tells a host what it may not know.
	Note(ctx context.Context, host string, n BudgetNote) error
}

// Lender answers the requests of other hosts.
type BudgetServer interface {
	Lend(ctx context.Context, r LendRequest) LendAnswer
	SettleLoan(reservation uint64, spent int64)
	Note(n BudgetNote)
}
