package orders_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/orders"
	"yuccausher/internal/port"
	_ "yuccausher/internal/testutil"
)

var (
	begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rules = orders.Defaults()
	alice = orders.Holder{Host: "10.0.0.1:7100", Incarnation: 1}
	bob   = orders.Holder{Host: "10.0.0.2:7100", Incarnation: 1}
)

// script appends records to a ledger.
type script struct {
	ledger *orders.Ledger
	offset int64
}

func newScript() *script { return &script{ledger: orders.NewLedger()} }

func (s *script) add(now time.Time, r orders.Record) int64 {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	if err := s.ledger.Apply(s.offset, data, now); err != nil {
		panic(err)
	}
	s.offset++
	return s.offset
}

func claim(h orders.Holder, target string) orders.Record {
	return orders.Record{Kind: orders.KindClaim, Target: target, Holder: h}
}

func TestDiffOrdersWhatIsWanted(t *testing.T) {
	is := is.New(t)
	shown := orders.State{Model: "a", Version: "1", Adapter: "x", Role: "mixed"}
	is.Equal(len(orders.Diff(shown, orders.State{Model: "a"})), 0) // empty means no wish
	is.Equal(orders.Diff(shown, orders.State{Model: "b", Version: "2", Adapter: "x", Role: "decode"}), []port.Order{
		{Kind: port.OrderLoad, Value: "b"}, {Kind: port.OrderVersion, Value: "2"}, {Kind: port.OrderRole, Value: "decode"},
	})
}

func TestDecideWaitsOutTheLease(t *testing.T) {
	is := is.New(t)
	s := newScript()
	role := []port.Order{{Kind: port.OrderRole, Value: "decode"}}
	decide := func(now time.Time, h orders.Holder) orders.Decision {
		return s.ledger.Decide(now, rules, h, "t", role)
	}
	is.Equal(decide(begin, alice).Step, orders.StepClaim)
	first := s.add(begin, claim(alice, "t"))
	is.Equal(decide(begin, alice).Step, orders.StepWaitLease)
	is.Equal(decide(begin, bob).Step, orders.StepWaitHold)
	is.Equal(decide(begin.Add(rules.ClaimHold), bob).Step, orders.StepClaim)
	d := decide(begin.Add(rules.Lease+rules.ClockAllowance), alice)
	is.Equal(d.Step, orders.StepOrder)
	is.Equal(d.Order, port.Order{Kind: port.OrderRole, Value: "decode", Epoch: first})
	second := s.add(begin.Add(time.Minute), claim(bob, "t"))
	is.True(second > first)
	is.Equal(decide(begin.Add(time.Minute), bob).Step, orders.StepWaitLease)
	is.Equal(decide(begin.Add(2*time.Minute), alice).Step, orders.StepClaim) // not the holder any more
}

func TestLedgerSkipsGarbage(t *testing.T) {
	is := is.New(t)
	l := orders.NewLedger()
	for i, data := range []string{"", "{", "[]", "{}", `{"kind":"claim"}`, `{"kind":"sing","target":"t","host":"h"}`} {
		is.True(l.Apply(int64(i), []byte(data), begin) != nil)
	}
	is.Equal(l.Next(), int64(6))
	_, ok := l.Claim("t")
	is.True(!ok)
}

// TestLoadsSharePlaces lets stewards ask, load, finish or die in any order.
// At most so many load at once, in the order of the stream, and each gets its
// turn.
func TestLoadsSharePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript()
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		now := begin
		epochs := make([]int64, n)
		for i := range n {
			epochs[i] = s.add(now, claim(alice, fmt.Sprint(i)))
		}
		now = now.Add(time.Minute)
		need := []port.Order{{Kind: port.OrderLoad, Value: "m"}}
		served := make(map[int]bool)
		for steps := 0; len(served) < n; steps++ {
			if steps > 1000 {
				t.Fatal("a load never got its turn")
			}
			loading := 0
			for i := range n {
				if served[i] {
					continue
				}
				target := fmt.Sprint(i)
				switch d := s.ledger.Decide(now, rules, alice, target, need); d.Step {
				case orders.StepQueue:
					s.add(now, orders.Record{Kind: orders.KindLoad, Target: target, Holder: alice, Epoch: epochs[i]})
				case orders.StepOrder:
					loading++
					served[i] = rapid.Bool().Draw(t, "done")
					if served[i] && rapid.Bool().Draw(t, "tells") {
						s.add(now, orders.Record{Kind: orders.KindLoaded, Target: target, Holder: alice, Epoch: epochs[i]})
						loading--
					}
				case orders.StepWaitSlot:
				default:
					t.Fatalf("unexpected step %s", d.Step)
				}
			}
			if loading > rules.MaxConcurrentLoads {
				t.Fatalf("%d load at once", loading)
			}
			now = now.Add(10 * time.Second)
		}
	})
}
