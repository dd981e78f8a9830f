package port

import (
	"context"
	"time"
)

// LendRequest asks another host for tokens of a program's budget.
type LendRequest struct {
	// Reservation is the ID of the reservation at the asked host. The asking host
	// chooses it, so that it can settle a reservation whose answer it did not
	// receive.
	Reservation uint64
	// Account is a writer that the asking host draws for this reservation alone, so that the
	// asking host can supersede the claims which hold it. It is zero if that host names none.
	Account uint64
	Program string
	Budget  int64
	// MaxTokens is the maximum number of tokens that the turn may spend.
	MaxTokens int64
	// MinTokens is how many tokens the turn needs to begin with. A loan may be smaller than
	// MaxTokens, but not smaller than that. With zero it needs all of them.
	MinTokens int64
	// Claimed is how much of the budget is claimed, as far as the asking host knows.
	Claimed int64
	// MayLend permits a reservation without a claim in the shared log, because none
	// of the hosts asked before reaches it.
	MayLend bool
	// FoundAt is when the asking host began to ask them. It is the zero time if that host
	// does not say.
	FoundAt time.Time
	// SilentSince is the time since when no host has marked the partition, by what they have stated. It is the zero time if
	// that is not known.
	SilentSince time.Time
	// MaxWait is how long the asked host may take to claim. With zero, that host
	// decides.
	MaxWait time.Duration
	// Loans are the program's loans that the asking host knows.
	Loans []Loan
}

// Loan is the total that a host holds of a program's budget, including what it has
// lent while the shared log was unavailable. Every host that knows of it may claim it
// on behalf of that host.
type Loan struct {
	// Writer and Sequence are those of the claim that covers the loan.
	Writer, Sequence uint64
	Budget, Total    int64
}

// ProgramLoan is a loan of a program's budget.
type ProgramLoan struct {
	Program string
	Loan    Loan
}

// LendDecision is another host's answer.
type LendDecision int

// The answers to a LendRequest.
const (
	LendGranted LendDecision = iota
	// LendSpent says that the budget has no room for the turn.
	LendSpent
	// LendUnavailable says that the asked host does not reach the shared log and did
	// not lend, or that it is shutting down.
	LendUnavailable
	// LendBusy says that the asked host could not reserve in time. Without MayLend,
	// it reaches the shared log.
	LendBusy
)

// LendAnswer is a host's answer to a LendRequest.
type LendAnswer struct {
	Decision LendDecision
	// Granted is how many tokens a granted reservation holds, at most MaxTokens of the request. It is
	// zero for a host that does not say, which grants all of them.
	Granted int64
	// Writer is that of the claims which hold a granted reservation, or of the loan which
	// does. It is zero for a host that does not say.
	Writer uint64
	// Account is that of the request if its claims hold the reservation, and zero otherwise.
	Account uint64
	// Loans are the program's loans that the asked host knows.
	Loans []Loan
	// Contact is what the asked host states of its contact with the log, with LendUnavailable.
	Contact LogContact
}

// LogContact is when a host that does not reach the shared log has reached it last.
type LogContact struct {
	// AnsweredAt is when the log has last answered any call of the host. It is the zero time if the log has not since the
	// process has started, or if the host does not say.
	AnsweredAt time.Time
	// MarkedAt is when the host, or an earlier run of its process, may have marked the partition last. It is the zero time
	// if the host does not say.
	MarkedAt time.Time
}

// HostDownError says that a host accepted no connection, so that the request was not
// sent.
type HostDownError struct {
	Host string
	// Cause is nil if no connection was tried because of a recent failure.
	Cause error
}

// Error implements error.
func (e *HostDownError) Error() string { return "host " + e.Host + " accepted no connection" }

// Unwrap returns the cause.
func (e *HostDownError) Unwrap() error { return e.Cause }

// BudgetNote reports what its receiver may not have read in the shared log. A note
// without a program only checks that the receiver is alive.
type BudgetNote struct {
	Program string
	Loans   []Loan
	// Claimed is how much of the budget is claimed as of Offset in the log; both are
	// zero if the note reports only loans.
	Claimed int64
	Offset  int64
}

// HostRun is one run of a host's process.
type HostRun struct {
	// Writer is that of the run's claims. It is zero if the host does not say.
	Writer uint64
	// StartedAt is when the run began to serve, or some time later. It is the zero time if the
	// host does not say.
	StartedAt time.Time
}

// KnownLoans says what a host knows of the loans of a partition.
type KnownLoans struct {
	// Since is the time from which on the host knows all loans. It is the zero time if some may be
	// missing.
	Since time.Time
	// Loans are those that the log may not contain.
	Loans []ProgramLoan
}

// BudgetPeers is the client that asks the other hosts to reserve tokens for this one.
type BudgetPeers interface {
	// Self returns this host's address, Hosts the addresses of the others.
	Self() string
	Hosts() []string
	// Reserve asks a host for a reservation, which is to be settled at that host.
	// After an error other than *HostDownError, the host may have granted it
	// nevertheless.
	Reserve(ctx context.Context, host string, r LendRequest) (LendAnswer, error)
	// Settle reports how many tokens of a reservation were spent. It returns once the
	// shared log counts them, or an error if it may not. The report was not sent after a
	// *HostDownError.
	Settle(ctx context.Context, host string, reservation uint64, spent int64) (HostRun, error)
	// Note reports to a host what it may not have read. isRecorded says that the log contains
	// all loans of the note; it is false for a host that does not say.
	Note(ctx context.Context, host string, n BudgetNote) (isRecorded bool, err error)
	// Fence makes a host stop lending of the budgets of a partition, because this host
	// is about to claim there. It returns the loans that the log may not contain.
	Fence(ctx context.Context, host string, part int) ([]ProgramLoan, error)
	// KnownLoans asks a reader of a partition which loans it knows.
	KnownLoans(ctx context.Context, host string, part int) (KnownLoans, error)
}

// BudgetServer serves the requests of other hosts.
type BudgetServer interface {
	// Lend reserves tokens for another host.
	Lend(ctx context.Context, r LendRequest) LendAnswer
	// SettleLoan ends a reservation that was granted by Lend, and spends so many
	// tokens of it. It returns once the shared log counts them, or an error if it may
	// not. It may be called again after an error.
	SettleLoan(ctx context.Context, reservation uint64, spent int64) error
	// Run returns this run of the host.
	Run() HostRun
	// Note records what another host has reported. It reports whether the log contains all
	// loans of the note, as far as this host has read it.
	Note(n BudgetNote) bool
	// Fence stops lending of the budgets of a partition for a while and returns the loans
	// that the log may not contain.
	Fence(part int) []ProgramLoan
	// KnownLoans returns the loans of a partition that this host knows.
	KnownLoans(part int) KnownLoans
}
