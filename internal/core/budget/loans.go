package budget

import (
	"slices"
	"time"
)

// Loans are claims of hosts that have lent while the log was away, as far as
// they may not be in the log yet. It is not safe for concurrent use.
type Loans struct{ byProgram map[string][]loan }

type loan struct {
	claim Claim
	at    time.Time
}

// NewLoans returns no loans.
func NewLoans() *Loans { return &Loans{byProgram: make(map[string][]loan)} }

// Add takes a loan. The latest one of a writer replaces those before.
func (l *Loans) Add(c Claim, now time.Time) {
	list := l.byProgram[c.Program]
	for i := range list {
		if list[i].claim.Writer != c.Writer {
			continue
		}
		if c.Sequence > list[i].claim.Sequence {
			list[i] = loan{claim: c, at: now}
		}
		return
	}
	l.byProgram[c.Program] = append(list, loan{claim: c, at: now})
}

// Of returns the loans of a program.
func (l *Loans) Of(program string) []Claim {
	list := l.byProgram[program]
	claims := make([]Claim, 0, len(list))
	for _, n := range list {
		claims = append(claims, n.claim)
	}
	return claims
}

// Beyond returns how many tokens of a program were lent that the book does not
// hold.
func (l *Loans) UnrecordedTokens(b *Book, program string) int64 {
	var sum int64
	for _, n := range l.byProgram[program] {
		if !b.Has(n.claim) {
			sum += max(n.claim.Total-b.Held(program, n.claim.Writer), 0)
		}
	}
	return sum
}

// Unwritten drops the loans that the book holds and returns most of the others
// at most.
func (l *Loans) UnrecordedClaims(b *Book, most int) []Claim {
	var claims []Claim
	for program := range l.byProgram {
		l.drop(program, func(n loan) bool { return b.Has(n.claim) })
		for _, n := range l.byProgram[program] {
			if len(claims) == most {
				return claims
			}
			claims = append(claims, n.claim)
		}
	}
	return claims
}

// Forget drops the loans that were made before a time.
func (l *Loans) Forget(before time.Time) {
	for program := range l.byProgram {
		l.drop(program, func(n loan) bool { return n.at.Before(before) })
	}
}

func (l *Loans) drop(program string, isDropped func(loan) bool) {
	if list := slices.DeleteFunc(l.byProgram[program], isDropped); len(list) > 0 {
		l.byProgram[program] = list
		return
	}
	delete(l.byProgram, program)
}

// Len returns the number of programs with loans.
func (l *Loans) Len() int { return len(l.byProgram) }
