package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func lent(writer, sequence uint64, total int64) Claim {
	c := claim(writer, sequence, total)
	c.Settled = true
	return c
}

func TestLoansCountUntilTheBookHoldsThem(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	b.Apply(claim(1, 1, 30), noTime)
	l.Add(lent(1, 2, 50), noTime)
	l.Add(lent(2, 1, 10), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(30))
	b.Apply(lent(1, 2, 50), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(10))
	is.Equal(l.UnrecordedClaims(b, 10), []Claim{lent(2, 1, 10)})
	// A later claim of the writer has overtaken the loan.
	b.Apply(claim(2, 5, 0), noTime)
	is.Equal(len(l.UnrecordedClaims(b, 10)), 0)
	is.Equal(l.Len(), 0)
}

func TestLaterLoanReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	l.Add(lent(1, 3, 40), noTime)
	l.Add(lent(1, 2, 20), noTime)
	is.Equal(l.UnrecordedTokens(b, "p"), int64(40))
	l.Add(lent(1, 4, 60), noTime)
	is.Equal(l.Of("p"), []Claim{lent(1, 4, 60)})
}

func TestLoansAreForgottenByAge(t *testing.T) {
	is := is.New(t)
	l := NewLoans()
	start := time.Unix(1000, 0)
	l.Add(lent(1, 1, 40), start)
	l.Add(lent(2, 1, 40), start.Add(time.Minute))
	l.Forget(start.Add(time.Second))
	is.Equal(l.Of("p"), []Claim{lent(2, 1, 40)})
	l.Forget(start.Add(time.Hour))
	is.Equal(l.Len(), 0)
}

func TestUnwrittenIsBounded(t *testing.T) {
	is := is.New(t)
	b, l := NewBook(), NewLoans()
	for w := range uint64(5) {
		l.Add(lent(w, 1, 1), noTime)
	}
	is.Equal(len(l.UnrecordedClaims(b, 3)), 3)
	is.Equal(len(l.Of("p")), 5)
}
