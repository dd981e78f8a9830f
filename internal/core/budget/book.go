// Package budget decides which claims on the token budgets of programs are
// accepted. Every host reads the claims in the order of the shared log and
// applies the same rule, so that all hosts agree without a coordinator: a claim
// that raises its writer's total is accepted if the totals of all writers then
// still fit the budget.
package budget

import (
	"slices"
	"time"
)

// Claim states how many tokens of a program's budget its writer holds in total.
type Claim struct {
	// Writer identifies one run of a host's process.
	Writer uint64
	// Sequence orders the claims of one writer, even if they reach the log out
	// of order.
	Sequence uint64
	Program  string
	// Budget is how many tokens the program may generate.
	Budget int64
	// Total replaces the writer's previous total, in tokens.
	Total int64
	// Settled marks a claim for tokens that callers have already received. It
	// is accepted even if it exceeds the budget.
	Settled bool
}

// Verdict is the decision on a claim.
type Verdict int

// The verdicts on a claim.
const (
	// Stale means that a claim of the same writer with the same or a higher
	// sequence was applied before.
	Stale Verdict = iota
	Accepted
	Refused
)

// String returns the verdict in lower case.
func (v Verdict) String() string { return [...]string{"stale", "accepted", "refused"}[v] }

// Book holds the accepted totals of all writers for each program, as of a
// position in the log. It is not safe for concurrent use.
type Book struct{ accounts map[string]*account }

type account struct {
	sum         int64
	claims      []writerClaim
	lastClaimAt time.Time
}

// writerClaim is the latest claim of one writer.
type writerClaim struct {
	writer   uint64
	sequence uint64
	total    int64
}

// NewBook returns a book without claims.
func NewBook() *Book { return &Book{accounts: make(map[string]*account)} }

// Apply applies the next claim of the log. now only serves to expire programs
// in Forget.
func (b *Book) Apply(c Claim, now time.Time) Verdict {
	a := b.accounts[c.Program]
	if a == nil {
		a = &account{}
		b.accounts[c.Program] = a
	}
	a.lastClaimAt = now
	w := a.claimOf(c.Writer)
	if c.Sequence <= w.sequence {
		return Stale
	}
	w.sequence = c.Sequence
	increase := c.Total - w.total
	if increase > 0 && !c.Settled && a.sum+increase > c.Budget {
		return Refused
	}
	a.sum += increase
	w.total = c.Total
	return Accepted
}

// claimOf returns the entry of a writer and adds an empty one if there is none.
func (a *account) claimOf(writer uint64) *writerClaim {
	for i := range a.claims {
		if a.claims[i].writer == writer {
			return &a.claims[i]
		}
	}
	a.claims = append(a.claims, writerClaim{writer: writer})
	return &a.claims[len(a.claims)-1]
}

// Claimed returns how many tokens of a program's budget all writers hold
// together.
func (b *Book) Claimed(program string) int64 {
	if a := b.accounts[program]; a != nil {
		return a.sum
	}
	return 0
}

// Held returns how many tokens of a program's budget one writer holds.
func (b *Book) Held(program string, writer uint64) int64 {
	a := b.accounts[program]
	if a == nil {
		return 0
	}
	for _, w := range a.claims {
		if w.writer == writer {
			return w.total
		}
	}
	return 0
}

// Has reports whether the claim, or a later one of its writer, was applied.
func (b *Book) Has(c Claim) bool {
	a := b.accounts[c.Program]
	return a != nil && slices.ContainsFunc(a.claims, func(w writerClaim) bool {
		return w.writer == c.Writer && w.sequence >= c.Sequence
	})
}

// Forget drops the programs whose last claim was applied before a time. The log
// does not retain their claims any longer either.
func (b *Book) Forget(before time.Time) {
	for program, a := range b.accounts {
		if a.lastClaimAt.Before(before) {
			delete(b.accounts, program)
		}
	}
}

// Len returns the number of programs.
func (b *Book) Len() int { return len(b.accounts) }
