package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func loanClaim(writer, sequence uint64, total int64) Claim {
	c := claim(writer, sequence, total)
	c.Settled = true
	return c
}

func TestLoansCountUntilBookContainsThem(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	b.Apply(claim(1, 1, 30), noTime)
	l.Add(loanClaim(1, 2, 50), noTime)
	l.Add(loanClaim(2, 1, 10), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(30))
	b.Apply(loanClaim(1, 2, 50), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(10))
	is.Equal(l.UnrecordedClaims(b, 10), []Claim{loanClaim(2, 1, 10)})
	// A later claim of the writer supersedes the loan.
	b.Apply(claim(2, 5, 0), noTime)
	is.Equal(len(l.UnrecordedClaims(b, 10)), 0)
	is.Equal(l.Len(), 0)
}

func TestLaterLoanReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	l.Add(loanClaim(1, 3, 40), noTime)
	l.Add(loanClaim(1, 2, 20), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(40))
	l.Add(loanClaim(1, 4, 60), noTime)
	is.Equal(l.Of("p"), []Claim{loanClaim(1, 4, 60)})
}

func TestForgetDropsOldLoans(t *testing.T) {
	is := is.New(t)
	l := NewLoans()
	start := time.Unix(1000, 0)
	l.Add(loanClaim(1, 1, 40), start)
	l.Add(loanClaim(2, 1, 40), start.Add(time.Minute))
	l.Forget(start.Add(time.Second))
	is.Equal(l.Of("p"), []Claim{loanClaim(2, 1, 40)})
	l.Forget(start.Add(time.Hour))
	is.Equal(l.Len(), 0)
}

func TestUnrecordedClaimsAreLimited(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	for w := range uint64(5) {
		l.Add(loanClaim(w, 1, 1), noTime)
	}
	is.Equal(len(l.UnrecordedClaims(b, 3)), 3)
	is.Equal(len(l.Of("p")), 5)
}

// A host lends for a turn that spends little. What is left of the loan is not spent by
// the next turn, since another host may have lent meanwhile.
func TestRestOfALoanIsNotSpentWithoutANewOne(t *testing.T) {
	is := is.New(t)
	s := Slice{}
	is.True(lend(&s, 840, 0, 0))
	is.True(s.Begin(280))
	s.End(280, 14)
	is.True(!s.BeginClaimed(200))
	is.True(!lend(&s, 840, 700, 0)) // the log holds claims of others by now
	is.True(lend(&s, 840, 0, 0))
}

// A claim that ends an account replaces the loan of the account, whichever comes first, and is
// dropped only with what it replaces.
func TestEndOfAnAccountReplacesItsLoan(t *testing.T) {
	is := is.New(t)
	l, now := NewLoans(), time.Now()
	end := Claim{Writer: 7, Sequence: 1 << 63, Program: "p", Budget: 900, Settled: true}
	loan := Claim{Writer: 7, Sequence: 3, Program: "p", Budget: 900, Total: 572, Settled: true}
	other := Claim{Writer: 8, Sequence: 3, Program: "p", Budget: 900, Total: 572, Settled: true}
	is.True(l.Add(loan, now))
	is.True(l.Add(other, now))
	is.True(l.Add(end, now))
	is.True(!l.Add(end, now))
	is.True(!l.Add(loan, now))
	is.Equal(l.Of("p"), []Claim{end, other})
	l.Remove(loan)
	is.Equal(l.Of("p"), []Claim{end, other})
	l.Remove(end)
	is.Equal(l.Of("p"), []Claim{other})
}
