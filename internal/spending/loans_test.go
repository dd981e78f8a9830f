package spending

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/metastore"
)

// A host lends while the store is unavailable and ends before it can claim the loan.
// If the loan is forgotten when 42 of 75 hosts lose power, a program gets 874 tokens
// although 570 + 285 is the limit.
func TestLoanOfAHostThatEndedIsClaimedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		f.outage()
		const budget, maxTokens, xTokens = 840, 280, 350
		granted := f.turnAtEachHost(budget, maxTokens)
		is.Equal(granted, int64(maxTokens))
		f.disconnect(f.order("runaway")[0])
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(3 * time.Second)
		for range 4 {
			granted += f.turnAtEachHost(budget, maxTokens)
		}
		is.Equal(granted, int64(budget))
	})
}

// The lender and the three hosts that follow it in the order end together.
func TestLoanIsKnownAfterManyHostsEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		f.outage()
		const budget, maxTokens, xTokens = 840, 280, 350
		granted := f.turnAtEachHost(budget, maxTokens)
		for _, host := range f.order("runaway")[:4] {
			f.disconnect(host)
		}
		time.Sleep(time.Second)
		granted += f.turnAtEachHost(budget, maxTokens)
		is.Equal(granted, int64(maxTokens))
	})
}

// Hosts that have not read the log for a long time lend while the store is
// unavailable. Meanwhile another host has spent nearly all of the budget.
func TestLenderIsNotifiedOfClaimsThatItHasNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		const budget, maxTokens = 5600, 280
		spender := f.order("runaway")[11]
		var granted int64
		for i, name := range f.names {
			if name != spender {
				continue
			}
			for range 18 {
				is.NoErr(turn(f.hosts[i], "runaway", budget, maxTokens, maxTokens))
				granted += maxTokens
			}
			time.Sleep(time.Second)
			f.outage()
			f.disconnect(spender)
		}
		for range 3 {
			granted += f.turnAtEachHost(budget, maxTokens)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(granted <= budget+maxTokens)
	})
}

// Several turns of a small program run at once while the store is unavailable, and
// each reserves far more than it spends. If a turn does not wait for the running
// ones, 16 of 98 programs are refused in two seconds.
func TestTurnWaitsForOtherTurnsOfItsProgramInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		const budget, maxTokens, spent = 840, 280, 70
		is.NoErr(turn(f.host(f.order("p")[0]), "p", budget, maxTokens, spent))
		f.outage()
		results := make(chan error)
		for i := range 4 {
			go func() {
				r, err := f.hosts[i].Reserve(t.Context(), "p", budget, maxTokens)
				if err == nil {
					time.Sleep(200 * time.Millisecond)
					r.Spend(spent)
					r.Release()
				}
				results <- err
			}()
		}
		for range 4 {
			is.NoErr(<-results)
		}
	})
}

// A preferred host that has granted all of a budget itself reports it as spent also
// while the store is unavailable, so that callers do not retry.
func TestSpentBudgetIsRefusedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		const budget, maxTokens, xTokens = 840, 280, 350
		preferred := f.host(f.order("p")[0])
		for range 3 {
			is.NoErr(turn(preferred, "p", budget, maxTokens, maxTokens))
		}
		f.outage()
		for _, h := range f.hosts {
			is.True(isSpent(turn(h, "p", budget, maxTokens, maxTokens)))
		}
	})
}

// One partition is unavailable for all hosts, and one host reaches no partition. What
// that host learns of the first partition must not affect the others, in which
// budgets are still claimed.
func TestUnavailablePartitionDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		// The lender of "runaway" is the host that is cut off. The other program is in
		// another partition.
		const budget, maxTokens, xTokens = 840, 280, 350
		cutOff, unavailable := f.host(f.order("runaway")[0]), ""
		for i := 0; unavailable == "" || cutOff.partitionOf(unavailable) == cutOff.partitionOf("runaway"); i++ {
			unavailable = fmt.Sprint("away", i)
		}
		f.store.SetFaults(f.order("runaway")[0], metastore.Faults{Refuse: true})
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true, Only: []int{cutOff.partitionOf(unavailable)}})
		var granted int64
		for _, h := range f.hosts {
			// Each host detects which partitions it reaches.
			_ = turn(h, unavailable, 20000, maxTokens, 70)
		}
		time.Sleep(largeLoanDelay)
		run := func(h *Service, turns int) {
			for range turns {
				if turn(h, "runaway", budget, maxTokens, maxTokens) == nil {
					granted += maxTokens
				}
			}
		}
		run(f.host(f.order("runaway")[1]), 2)
		is.NoErr(turn(cutOff, unavailable, 20000, maxTokens, 70))
		run(cutOff, 1)
		run(f.host(f.order("runaway")[2]), 2)
		is.Equal(granted, int64(budget))
	})
}

// The store stops answering. If each host takes 0.4 s to detect it for its first
// partition and another 0.4 s for the others, hosts report to each other meanwhile
// that they reach the log: 50 of 203 programs that began in the first two seconds
// failed, and 86 were late.
func TestHostsLendSoonAfterTheStoreStopsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		ask := func(i int) error { return turn(f.hosts[i%12], fmt.Sprint("program", i), 20000, 280, 70) }
		for i := range 96 {
			is.NoErr(ask(i))
		}
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Silent: true})
		var asking sync.WaitGroup
		for i := range 240 {
			begun := time.Duration(i) * 5 * time.Millisecond
			time.Sleep(5 * time.Millisecond)
			asking.Go(func() {
				asked := time.Now()
				err := ask(1000 + i)
				if begun < 2*readTimeout {
					return
				}
				if err != nil || time.Since(asked) > readTimeout {
					t.Errorf("a turn begun %v into the outage took %v: %v", begun, time.Since(asked), err)
				}
			})
		}
		asking.Wait()
	})
}

// Half of the hosts lose power in an outage of the store, among them all that were
// notified that a budget is claimed. A host that read the partition long before must
// not lend half of the budget again.
func TestHostThatWasNotNotifiedDoesNotLend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		order := f.order("p")
		// The others have read the partition for another program.
		for _, host := range order[readerCount:] {
			s := f.host(host)
			is.NoErr(s.startedLedger(s.partitionOf("p")).catchUp(t.Context(), 0))
		}
		is.NoErr(turn(f.host(order[0]), "p", 1144, 572, 572))
		is.NoErr(turn(f.host(order[0]), "p", 1144, 572, 572))
		f.outage()
		for _, host := range order[:readerCount] {
			f.disconnect(host)
		}
		for _, host := range order[readerCount:] {
			is.True(turn(f.host(host), "p", 1144, 572, 572) != nil)
		}
	})
}

// A process that was paused may have missed notes, so it must read the log before it
// lends.
func TestPauseOfTheProcessIsDetected(t *testing.T) {
	is := is.New(t)
	var p pauseDetector
	now := time.Now()
	is.True(!p.tick(now))
	is.True(!p.tick(now.Add(pauseThreshold)))
	is.True(p.isPaused(now.Add(3 * pauseThreshold)))
	is.True(p.tick(now.Add(3 * pauseThreshold)))
	is.True(!p.isPaused(now.Add(3 * pauseThreshold)))
	// The monotonic clock does not advance while a machine is suspended.
	is.True(p.isPaused(now.Round(0).Add(5 * pauseThreshold)))
}

// Two hosts spend one budget without knowing of each other's claims: one has ended, the
// other has lent. The claim for what was lent exceeds the budget, and what is left of it
// must not be spent by further turns until it has been given back and claimed anew.
func TestRestOfASettledLoanIsNotSpentBeyondTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens, xTokens = 840, 280, 350
		f := newFleet(t, 4)
		order := f.order("p")
		x, y := f.host(order[0]), f.host(order[1])
		reserve := func() gateway.Reservation {
			r, err := y.Reserve(t.Context(), "p", budget, maxTokens)
			is.NoErr(err)
			return r
		}
		f.cutOff.Store(order[1], true)
		open := []gateway.Reservation{reserve()}
		f.cutOff.Clear()
		is.NoErr(turn(x, "p", budget, xTokens, xTokens))

		f.cutOff.Store(order[0], true)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		_ = turn(y, "probe", 20_000, maxTokens, 14)
		time.Sleep(500 * time.Millisecond)
		open = append(open, reserve())
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(600 * time.Millisecond)
		for _, r := range open {
			r.Spend(14)
			r.Release()
		}
		l := y.ledger("p")
		l.mu.Lock()
		claimed := l.book.Claimed("p")
		l.mu.Unlock()
		is.True(claimed > budget) // the case is met
		_, err, ok := l.decideLocally("p", budget, maxTokens)
		is.NoErr(err)
		is.True(!ok) // not from the rest of the loan
		granted := int64(xTokens + 2*14)
		calls := f.store.Calls()
		is.NoErr(turn(y, "p", budget, maxTokens, 0))
		is.True(f.store.Calls()-calls <= 4) // one claim gives the rest back and holds the turn
		for range 6 {
			if turn(y, "p", budget, maxTokens, maxTokens) == nil {
				granted += maxTokens
			}
			time.Sleep(300 * time.Millisecond)
		}
		is.True(granted <= budget)
	})
}

// A minority of the hosts is cut off from the store and from the other hosts, which go on
// to claim. The hosts of the minority tell each other that the log is unavailable; they
// must not take that for an outage.
func TestMinorityThatIsCutOffDoesNotLend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens = 840, 280
		f := newFleet(t, 12)
		order := f.order("p")
		is.NoErr(turn(f.host(order[5]), "p", budget, maxTokens, 14))
		for _, name := range order[:4] {
			f.apart.Store(name, true)
			f.store.SetFaults(name, metastore.Faults{Refuse: true})
		}
		for _, name := range order[:4] {
			_ = turn(f.host(name), "probe", 20_000, maxTokens, 14)
		}
		time.Sleep(500 * time.Millisecond)
		granted := int64(14)
		for range 4 {
			for _, name := range order {
				if turn(f.host(name), "p", budget, maxTokens, maxTokens) == nil {
					granted += maxTokens
				}
			}
		}
		is.True(granted <= budget)
	})
}

// A host that would lend misses the note that a budget is claimed, since it is cut off for
// a moment. When it is back and the store goes away, it must know of the claims.
func TestHostThatMissedANoteDoesNotLend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens = 840, 280
		f := newFleet(t, 8)
		order := f.order("p")
		f.cutOff.Store(order[1], true)
		granted := int64(0)
		for range 3 {
			is.NoErr(turn(f.host(order[0]), "p", budget, maxTokens, maxTokens))
			granted += maxTokens
		}
		time.Sleep(noteTimeout)
		f.cutOff.Delete(order[1])
		time.Sleep(time.Second)
		f.cutOff.Store(order[0], true) // the host that knows the claims ends
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		for _, name := range order[1:] {
			_ = turn(f.host(name), "probe", 20_000, maxTokens, 14)
		}
		time.Sleep(500 * time.Millisecond)
		for _, name := range order[1:] {
			if turn(f.host(name), "p", budget, maxTokens, maxTokens) == nil {
				granted += maxTokens
			}
		}
		is.True(granted <= budget)
	})
}

// Turns ask a lender for tokens just when the log comes back to it. Their claim took the place of
// the one for its loans and was refused, so that nobody counted the loans: a program got 3,920
// tokens of 2,800 + 280.
func TestRefusedClaimDoesNotHideALoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens, loans = 2800, 280, 5
		f := newFleet(t, 4)
		f.outage()
		time.Sleep(largeLoanDelay)
		order := f.order("p")
		lender := f.host(order[0])
		for range loans {
			_, err := lender.Reserve(t.Context(), "p", budget, maxTokens)
			is.NoErr(err)
		}
		granted := int64(loans * maxTokens)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		var asking sync.WaitGroup
		var mu sync.Mutex
		for range maxRetry / time.Millisecond {
			for range 2 * loans {
				asking.Go(func() {
					if _, err := lender.Reserve(t.Context(), "p", budget, maxTokens); err == nil {
						mu.Lock()
						defer mu.Unlock()
						granted += maxTokens
					}
				})
			}
			time.Sleep(time.Millisecond)
		}
		// The others do not reach the lender and claim by themselves.
		f.cutOff.Store(order[0], true)
		others := f.runawayAt(t, order[1:], "p", 15, budget, maxTokens)
		asking.Wait()
		is.True(granted+others <= budget+maxTokens)
		is.True(granted+others > budget-maxTokens)
	})
}
