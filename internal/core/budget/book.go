// Package budget decides which claims on programs' budgets hold. Every host
// reads the claims in the order of the shared log and applies the same rule,
// so that all agree without an owner: a claim that raises its writer's total
// holds if the totals of all writers then still fit the budget.
package budget

import (
	"slices"
	"time"
)

// Claim says how many tokens of a program's budget its writer holds in all.
type Claim struct {
	// Writer names one run of a host's process.
	Writer uint64
	// Sequence orders the claims of a writer, also where they arrive late.
	Sequence uint64
	Program  string
	// Budget is how many tokens the program may generate.
	Budget int64
	// Total replaces what the writer held before.
	Total int64
	// Settled claims are for tokens that were handed out already and hold also
	// beyond the budget.
	Settled bool
}

// Verdict says whether a claim holds.
type Verdict int

// The verdicts on a claim.
const (
	// Stale claims came after a later one of their writer.
	Stale Verdict = iota
	Accepted
	Refused
)

// String names the verdict.
func (v Verdict) String() string { return [...]string{"stale", "accepted", "refused"}[v] }

// Book holds what the writers hold of each program's budget, as of a position
// in the log. It is not safe for concurrent use.
type Book struct{ accounts map[string]*account }

type account struct {
	sum     int64
	claims  []held
	touched time.Time
}

// held is the latest claim of one writer.
type held struct {
	writer   uint64
	sequence uint64
	total    int64
}

// NewBook returns a book without claims.
func NewBook() *Book { return &Book{accounts: make(map[string]*account)} }

// Apply takes the next claim of the log. now is only used to forget programs.
func (b *Book) Apply(c Claim, now time.Time) Verdict {
	a := b.accounts[c.Program]
	if a == nil {
		a = &account{}
		b.accounts[c.Program] = a
	}
	a.touched = now
	h := a.held(c.Writer)
	if c.Sequence <= h.sequence {
		return Stale
	}
	h.sequence = c.Sequence
	rise := c.Total - h.total
	if rise > 0 && !c.Settled && a.sum+rise > c.Budget {
		return Refused
	}
	a.sum += rise
	h.total = c.Total
	return Accepted
}

// held returns the entry of a writer.
func (a *account) held(writer uint64) *held {
	for i := range a.claims {
		if a.claims[i].writer == writer {
			return &a.claims[i]
		}
	}
	a.claims = append(a.claims, held{writer: writer})
	return &a.claims[len(a.claims)-1]
}

// Claimed returns how many tokens all writers hold of a program's budget.
func (b *Book) Claimed(program string) int64 {
	if a := b.accounts[program]; a != nil {
		return a.sum
	}
	return 0
}

// Held returns how many tokens one writer holds.
func (b *Book) Held(program string, writer uint64) int64 {
	a := b.accounts[program]
	if a == nil {
		return 0
	}
	for _, h := range a.claims {
		if h.writer == writer {
			return h.total
		}
	}
	return 0
}

// Has says whether the book holds a claim, or a later one of its writer.
func (b *Book) Has(c Claim) bool {
	a := b.accounts[c.Program]
	return a != nil && slices.ContainsFunc(a.claims, func(h held) bool {
		return h.writer == c.Writer && h.sequence >= c.Sequence
	})
}

// Forget drops the programs without a claim since a time. The log keeps their
// claims for no longer either.
func (b *Book) Forget(before time.Time) {
	for program, a := range b.accounts {
		if a.touched.Before(before) {
			delete(b.accounts, program)
		}
	}
}

// Len returns the number of programs.
func (b *Book) Len() int { return len(b.accounts) }
