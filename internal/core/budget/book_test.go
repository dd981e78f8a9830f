package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var noTime time.Time

func claim(writer, sequence uint64, total int64) Claim {
	return Claim{Writer: writer, Sequence: sequence, Program: "p", Budget: 100, Total: total}
}

func TestClaimsWithinBudgetAreAccepted(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.Equal(b.Apply(claim(1, 1, 60), noTime), Accepted)
	is.Equal(b.Apply(claim(2, 1, 50), noTime), Refused)
	is.Equal(b.Apply(claim(2, 2, 40), noTime), Accepted)
	is.Equal(b.Claimed("p"), int64(100))
	is.Equal(b.Held("p", 1), int64(60))
}

func TestLowerClaimReleasesBudget(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Apply(claim(1, 1, 100), noTime)
	is.Equal(b.Apply(claim(1, 2, 30), noTime), Accepted)
	is.Equal(b.Apply(claim(2, 1, 70), noTime), Accepted)
}

// A claim may reach the log seconds after its writer gave up on it. It must not
// overwrite a later claim of the writer.
func TestLateClaimIsStale(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Apply(claim(1, 2, 90), noTime)
	is.Equal(b.Apply(claim(1, 1, 10), noTime), Stale)
	is.Equal(b.Apply(claim(1, 2, 10), noTime), Stale)
	is.Equal(b.Claimed("p"), int64(90))
}

func TestSettledClaimMayExceedBudget(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Apply(claim(1, 1, 90), noTime)
	c := claim(2, 1, 30)
	c.Settled = true
	is.Equal(b.Apply(c, noTime), Accepted)
	is.Equal(b.Claimed("p"), int64(120))
	is.Equal(b.Apply(claim(3, 1, 1), noTime), Refused)
}

func TestForgetKeepsRecentPrograms(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	start := time.Unix(1000, 0)
	b.Apply(claim(1, 1, 10), start)
	c := claim(1, 2, 10)
	c.Program = "later"
	b.Apply(c, start.Add(time.Minute))
	b.Forget(start.Add(time.Second))
	is.Equal(b.Len(), 1)
	is.Equal(b.Claimed("later"), int64(10))
}

// Writers spend slices, release parts of them, crash and restart, and some claims
// reach the log late. The tokens that all of them deliver must not exceed the
// budget.
func TestWritersStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, maxTokens = 1000, 90
		type writer struct {
			slice    Slice
			id       uint64
			sequence uint64
		}
		book := NewBook()
		nextID := uint64(3)
		writers := []*writer{{id: 1}, {id: 2}, {id: 3}}
		var late []Claim
		delivered := int64(0)
		apply := func(w *writer, claimed int64) {
			w.sequence++
			c := Claim{Writer: w.id, Sequence: w.sequence, Program: "p", Budget: total, Total: claimed}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				// The answer is lost and the record reaches the log later.
				late = append(late, c)
				return
			}
			book.Apply(c, noTime)
			w.slice.Confirmed = book.Held("p", w.id)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w := writers[rapid.IntRange(0, len(writers)-1).Draw(t, "writer")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				apply(w, max(w.slice.ClaimTotal(maxTokens, total, book.Claimed("p"), false), w.slice.Confirmed))
			case 1, 2:
				if w.slice.Begin(maxTokens) {
					spent := rapid.Int64Range(0, maxTokens).Draw(t, "spent")
					w.slice.End(maxTokens, spent)
					delivered += spent
				}
			case 3:
				w.slice.Confirmed = w.slice.Needed(0)
				apply(w, w.slice.Confirmed)
			case 4:
				nextID++
				*w = writer{id: nextID}
			case 5:
				if len(late) > 0 {
					c := late[0]
					late = late[1:]
					book.Apply(c, noTime)
					for _, w := range writers {
						if w.id == c.Writer {
							w.slice.Confirmed = min(w.slice.Confirmed, book.Held("p", w.id))
						}
					}
				}
			}
			if delivered > total {
				t.Fatalf("delivered %d tokens of a budget of %d", delivered, total)
			}
		}
	})
}

func TestClaimTotalLeavesBudgetForOtherHosts(t *testing.T) {
	is := is.New(t)
	var s Slice
	is.Equal(s.ClaimTotal(280, 20000, 0, false), int64(280+2*280))
	// Further turns get an eighth of the remainder, since the turns of one
	// program arrive at several hosts.
	is.Equal(s.ClaimTotal(280, 1300, 0, false), int64(280+(1300-280)/8))
	is.Equal(s.ClaimTotal(280, 300, 290, false), int64(280))
}

// lend asks for a loan of all that a turn of 280 tokens may take.
func lend(s *Slice, budget, claimed, lent int64) bool {
	return s.Lend(LoanRequest{MinTokens: 280, MaxTokens: 280, Limit: LoanLimit(280, budget, true), Budget: budget, Claimed: claimed, Lent: lent}, Slice{}) == 280
}

func TestLendIsBoundedByHalfOfBudgetOrOneTurn(t *testing.T) {
	is := is.New(t)
	var s Slice
	is.True(lend(&s, 1300, 0, 0))
	is.True(s.Begin(280))
	is.True(lend(&s, 1300, 0, 0))
	is.True(s.Begin(280))
	is.True(!lend(&s, 1300, 0, 0))
	s.End(280, 70)
	s.End(280, 70)
	is.True(lend(&s, 1300, 0, 0))
	var short Slice
	is.True(lend(&short, 840, 0, 0))
	is.True(short.Begin(280))
	// A lender that crashes loses track of one turn at most.
	is.True(!lend(&short, 840, 0, 0))
	var second Slice
	// Tokens lent by another host count towards the limit.
	is.True(!lend(&second, 840, 0, 280))
	is.True(lend(&second, 2000, 0, 280))
	var full Slice
	is.True(!lend(&full, 1300, 1100, 0))
}

func TestLoanMayBeAPartOfTheTurn(t *testing.T) {
	is := is.New(t)
	request := LoanRequest{MinTokens: 70, MaxTokens: 280, Limit: 280, Budget: 1300}
	var s Slice
	is.Equal(s.Lend(request, Slice{}), int64(280))
	is.True(s.Begin(280))
	s.End(280, 60)
	is.Equal(s.Lend(request, Slice{}), int64(220))
	is.True(s.Begin(220))
	is.Equal(s.Lend(request, Slice{}), int64(0))
	is.True(s.MayLend(request, Slice{}))
	s.End(220, 160)
	is.Equal(s.Lend(request, Slice{}), int64(0)) // 60 are left
	is.True(!s.MayLend(request, Slice{}))
	// What turns of accounts have left of the budget does not raise the limit.
	is.Equal(s.Lend(request, Slice{Confirmed: 280, Spent: 10}), int64(0))
}

// Loans that were forgotten and what is claimed afterwards exceed the budget by one turn at most.
func TestForgottenLoansFitOneTurn(t *testing.T) {
	is := is.New(t)
	for _, budget := range []int64{0, 280, 281, 500, 840, 1300, 20000} {
		is.True(LoanLimit(280, budget, false) <= 280)
		is.True(LoanLimit(280, budget, true)+CertainBudget(280, budget) <= budget+280)
	}
}

func TestSettleClaimsLentTokens(t *testing.T) {
	is := is.New(t)
	s := Slice{Confirmed: 100, Spent: 90}
	is.True(lend(&s, 1300, 100, 0))
	is.True(s.Begin(280))
	s.End(280, 50)
	total, exceedsConfirmed := s.Settle()
	is.Equal(total, int64(140))
	is.True(exceedsConfirmed)
	is.True(!s.Begin(10))
}
