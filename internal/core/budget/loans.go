package budget

import (
	"slices"
	"time"
)

// Loans holds the claims of hosts that lent tokens while the log was
// unavailable, until the log contains them. It is not safe for concurrent use.
type Loans struct{ byProgram map[string][]loan }

type loan struct {
	claim Claim
	at    time.Time
}

// NewLoans returns an empty set of loans.
func NewLoans() *Loans { return &Loans{byProgram: make(map[string][]loan)} }

// Add records a loan. It replaces an earlier loan of the same writer; a loan
// with the same or a lower sequence than the recorded one is ignored. It reports whether
// the loan was recorded.
func (l *Loans) Add(c Claim, now time.Time) bool {
	list := l.byProgram[c.Program]
	for i := range list {
		if list[i].claim.Writer != c.Writer {
			continue
		}
		if c.Sequence <= list[i].claim.Sequence {
			return false
		}
		list[i] = loan{claim: c, at: now}
		return true
	}
	l.byProgram[c.Program] = append(list, loan{claim: c, at: now})
	return true
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

// UnrecordedTokens returns how many tokens of a program's budget were lent and
// are not part of the totals in the book.
func (l *Loans) UnrecordedTokens(b *Book, program string) int64 {
	var sum int64
	for _, n := range l.byProgram[program] {
		if !b.Has(n.claim) {
			sum += max(n.claim.Total-b.Held(program, n.claim.Writer), 0)
		}
	}
	return sum
}

// UnrecordedClaims drops the loans that the book contains and returns up to
// limit of the remaining ones.
func (l *Loans) UnrecordedClaims(b *Book, limit int) []Claim {
	var claims []Claim
	for program := range l.byProgram {
		l.drop(program, func(n loan) bool { return b.Has(n.claim) })
		for _, n := range l.byProgram[program] {
			if len(claims) == limit {
				return claims
			}
			claims = append(claims, n.claim)
		}
	}
	return claims
}

// Remove drops a loan, or an earlier one of its writer, because the log contains it.
func (l *Loans) Remove(c Claim) {
	l.drop(c.Program, func(n loan) bool { return n.claim.Writer == c.Writer && n.claim.Sequence <= c.Sequence })
}

// Forget drops the loans that were made before a time.
func (l *Loans) Forget(before time.Time) {
	for program := range l.byProgram {
		l.drop(program, func(n loan) bool { return n.at.Before(before) })
	}
}

func (l *Loans) drop(program string, shouldDrop func(loan) bool) {
	if list := slices.DeleteFunc(l.byProgram[program], shouldDrop); len(list) > 0 {
		l.byProgram[program] = list
		return
	}
	delete(l.byProgram, program)
}

// Claims returns the number of loans of all programs.
func (l *Loans) Claims() int {
	n := 0
	for _, list := range l.byProgram {
		n += len(list)
	}
	return n
}

// Len returns the number of programs with loans.
func (l *Loans) Len() int { return len(l.byProgram) }
