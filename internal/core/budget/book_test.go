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

func TestClaimsHoldWithinTheBudget(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.Equal(b.Apply(claim(1, 1, 60), noTime), Accepted)
	is.Equal(b.Apply(claim(2, 1, 50), noTime), Refused)
	is.Equal(b.Apply(claim(2, 2, 40), noTime), Accepted)
	is.Equal(b.Claimed("p"), int64(100))
	is.Equal(b.Held("p", 1), int64(60))
}

func TestLowerClaimGivesBack(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Apply(claim(1, 1, 100), noTime)
	is.Equal(b.Apply(claim(1, 2, 30), noTime), Accepted)
	is.Equal(b.Apply(claim(2, 1, 70), noTime), Accepted)
}

// A claim that is executed seconds after its writer gave it up must not undo a
// later one.
func TestLateClaimCountsForNothing(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.Apply(claim(1, 2, 90), noTime)
	is.Equal(b.Apply(claim(1, 1, 10), noTime), Stale)
	is.Equal(b.Apply(claim(1, 2, 10), noTime), Stale)
	is.Equal(b.Claimed("p"), int64(90))
}

func TestSettledClaimHoldsBeyondTheBudget(t *testing.T) {
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

// TestWritersStayWithinTheBudget draws writers that spend slices, give parts
// back, die and start again, with claims that arrive late. What all have
// handed out never exceeds the budget.
func TestWritersStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, most = 1000, 90
		type writer struct {
			slice    Slice
			id       uint64
			sequence uint64
		}
		book := NewBook()
		nextID := uint64(3)
		writers := []*writer{{id: 1}, {id: 2}, {id: 3}}
		var late []Claim
		handed := int64(0)
		apply := func(w *writer, claimed int64) {
			w.sequence++
			c := Claim{Writer: w.id, Sequence: w.sequence, Program: "p", Budget: total, Total: claimed}
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				// The answer is lost and the record comes later.
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
				apply(w, max(w.slice.ClaimTotal(most, total, book.Claimed("p"), false), w.slice.Confirmed))
			case 1, 2:
				if w.slice.Begin(most) {
					spent := rapid.Int64Range(0, most).Draw(t, "spent")
					w.slice.End(most, spent)
					handed += spent
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
			if handed > total {
				t.Fatalf("%d tokens of %d were handed out", handed, total)
			}
		}
	})
}

func TestAheadLeavesRoomForOtherHosts(t *testing.T) {
	is := is.New(t)
	var s Slice
	is.Equal(s.ClaimTotal(280, 20000, 0, false), int64(280+2*280))
	// The turns of one program come through several hosts.
	is.Equal(s.ClaimTotal(280, 1300, 0, false), int64(280+(1300-280)/8))
	is.Equal(s.ClaimTotal(280, 300, 290, false), int64(280))
}

func TestLendIsBoundedByHalfTheBudgetOrOneTurn(t *testing.T) {
	is := is.New(t)
	var s Slice
	is.True(s.Lend(280, 1300, 0, 0))
	is.True(s.Begin(280))
	is.True(s.Lend(280, 1300, 0, 0))
	is.True(s.Begin(280))
	is.True(!s.Lend(280, 1300, 0, 0))
	s.End(280, 70)
	s.End(280, 70)
	is.True(s.Lend(280, 1300, 0, 0))
	var short Slice
	is.True(short.Lend(280, 840, 0, 0))
	is.True(short.Begin(280))
	// A lender that ends forgets no more than one turn.
	is.True(!short.Lend(280, 840, 0, 0))
	var second Slice
	// What another host has lent counts.
	is.True(!second.Lend(280, 840, 0, 280))
	is.True(second.Lend(280, 2000, 0, 280))
	var full Slice
	is.True(!full.Lend(280, 1300, 1100, 0))
}

func TestSettleClaimsWhatWasLent(t *testing.T) {
	is := is.New(t)
	s := Slice{Confirmed: 100, Spent: 90}
	is.True(s.Lend(280, 1300, 100, 0))
	is.True(s.Begin(280))
	s.End(280, 50)
	total, isMore := s.Settle()
	is.Equal(total, int64(140))
	is.True(isMore)
	is.True(!s.Begin(10))
}
