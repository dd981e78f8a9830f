package spending

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

// checkClaimed fails unless each host that is up counts so many claimed tokens of p.
func checkClaimed(t *testing.T, f *fleet, claimed int64) {
	t.Helper()
	for i, s := range f.hosts {
		if _, isDown := f.down.Load(f.names[i]); isDown {
			continue
		}
		if err := s.startedLedger(s.partitionOf("p")).probe(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := s.ledger("p").claimed("p"); got != claimed {
			t.Errorf("%s counts %d claimed tokens, want %d", f.names[i], got, claimed)
		}
	}
}

// The preferred host is killed after its claim is in the log and before it answers. Its 572 of 900
// tokens stayed claimed for a turn that never ran, and the program was refused for good.
func TestClaimOfAHostThatEndsBeforeItAnswersIsFreed(t *testing.T) {
	for _, c := range []struct {
		name string
		// asker is the index of the asking host in the order of the partition.
		asker int
		// isLate says that the claim reaches the log after its host has ended, isLost that the store's
		// answer to the append is lost.
		isLate, isLost bool
		// kills is how many hosts in a row end before they answer.
		kills int
	}{
		{name: "next host asks", asker: 1, kills: 1},
		{name: "last host asks", asker: 4, kills: 1},
		{name: "two hosts end", asker: 4, kills: 2},
		{name: "three hosts end", asker: 4, kills: 3},
		{name: "append takes effect late", asker: 4, kills: 1, isLate: true},
		{name: "appends of two hosts take effect late", asker: 4, kills: 2, isLate: true},
		{name: "answer of the store is lost", asker: 4, kills: 1, isLost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const budget, maxTokens, spent = 900, 572, 140
				f := newFleet(t, 5)
				order := f.order("p")
				for _, host := range order[:c.kills] {
					kill := func() { f.kill(f.index(host)) }
					if !c.isLate && !c.isLost {
						f.beforeAnswer.Store(host, kill)
						continue
					}
					faults := metastore.Faults{LoseAnswers: 1}
					if c.isLate {
						faults = metastore.Faults{Late: 1}
					}
					f.store.SetFaults(host, faults)
					f.onAsked.Store(host, func() { time.AfterFunc(2*latency, kill) })
				}
				asker := f.host(order[c.asker])
				is.NoErr(settledTurn(t, asker, "p", budget, maxTokens, spent))
				time.Sleep(3 * time.Second)
				f.store.Flush()
				time.Sleep(time.Second)
				checkClaimed(t, f, spent)
				is.NoErr(settledTurn(t, asker, "p", budget, maxTokens, spent))
				checkClaimed(t, f, 2*spent)
			})
		})
	}
}

// The caller is gone when the asked host ends, so that no request for tokens carries the news. The notes
// that free the tokens are lost or repeated, or the asking host ends after the first one.
func TestNotesThatFreeTokensMayBeLostOrRepeated(t *testing.T) {
	for _, c := range []struct {
		name           string
		lost, repeated int64
		hasAskerEnded  bool
	}{
		{name: "all arrive"},
		{name: "lost", lost: 5},
		{name: "repeated", repeated: 3},
		{name: "some lost, others repeated", lost: 2, repeated: 2},
		{name: "asking host ends", hasAskerEnded: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5)
				order := f.order("p")
				f.lostNotes.Store(c.lost)
				f.repeatedNotes.Store(c.repeated)
				ctx, cancel := context.WithCancel(t.Context())
				f.beforeAnswer.Store(order[0], func() {
					f.kill(f.index(order[0]))
					cancel()
				})
				_, err := f.host(order[4]).Reserve(ctx, "p", 900, 572)
				is.True(err != nil)
				if c.hasAskerEnded {
					time.Sleep(10 * time.Millisecond)
					f.kill(f.index(order[4]))
				}
				time.Sleep(3 * time.Second)
				checkClaimed(t, f, 0)
				is.NoErr(settledTurn(t, f.host(order[3]), "p", 900, 572, 140))
				checkClaimed(t, f, 140)
			})
		})
	}
}

// The asked host does not end but is frozen between its claim and its answer. The asking host must
// not use the late grant of a reservation that it has ended, and neither may count it again.
func TestLateGrantOfAnEndedReservationIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		order := f.order("p")
		f.beforeAnswer.Store(order[0], func() {
			f.freeze(order[0])
			time.Sleep(2 * time.Second)
			f.frozen.Delete(order[0])
		})
		is.NoErr(settledTurn(t, f.host(order[4]), "p", 900, 572, 140))
		is.NoErr(settledTurn(t, f.host(order[3]), "p", 900, 572, 140))
		time.Sleep(3 * time.Second)
		checkClaimed(t, f, 280)
		is.NoErr(settledTurn(t, f.host(order[0]), "p", 900, 572, 140))
		time.Sleep(loanExpiry + time.Second)
		is.NoErr(turn(f.host(order[0]), "other", 900, 572, 140))
		checkClaimed(t, f, 420)
	})
}

// Hosts of an earlier build ignore accounts. They append what frees the tokens like a loan, serve
// hosts that name accounts, and are served without one.
func TestHostsOfAnEarlierBuildIgnoreAccounts(t *testing.T) {
	for _, c := range []struct {
		name string
		// old is the index of a host of an earlier build in the order of the partition.
		old      int
		isKilled bool
	}{
		{name: "the next host", old: 1, isKilled: true},
		{name: "the asking host", old: 4},
		{name: "the preferred host", old: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5)
				order := f.order("p")
				f.silent.Store(order[c.old], true)
				if c.isKilled {
					f.beforeAnswer.Store(order[0], func() { f.kill(f.index(order[0])) })
				}
				for range 2 {
					is.NoErr(settledTurn(t, f.host(order[4]), "p", 900, 572, 140))
					time.Sleep(time.Second)
				}
				checkClaimed(t, f, 280)
			})
		})
	}
}

// A turn outlives the host that reserved its tokens, which never comes back, or comes back and
// loses the answer to a report. Its unspent tokens stayed claimed.
func TestTurnOfALenderThatNeverComesBackIsSettled(t *testing.T) {
	for _, isLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 5)
			order := f.order("p")
			r, err := f.host(order[4]).Reserve(t.Context(), "p", 900, 572)
			is.NoErr(err)
			f.kill(f.index(order[0]))
			if isLost {
				f.revive(t, f.index(order[0]))
				f.loseSettlement.Store(order[0], true)
			}
			r.Spend(140)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			is.NoErr(r.Settle(ctx))
			checkClaimed(t, f, 140)
		})
	}
}

// A reservation of another host that is answered takes one append to claim it and one to count what
// its turn has spent, besides the first read of the partition.
func TestAnsweredReservationsTakeTwoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		f.isUnmarked.Store(true)
		order := f.order("p")
		is.NoErr(settledTurn(t, f.host(order[4]), "p", 2800, 280, 70))
		calls := f.store.Calls()
		const turns = 20
		for i := range turns {
			is.NoErr(settledTurn(t, f.host(order[1+i%4]), "p", 2800, 280, 70))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		is.Equal(f.store.Calls()-calls, 2*turns)
	})
}

// A host comes back after it has lent, or claimed tokens ahead, and loses its answer to a report of
// a turn that has outlived its earlier run. Since the answer might have been that of the earlier run,
// the unspent tokens stayed claimed.
func TestLostAnswerOfANewRunStrandsNothing(t *testing.T) {
	for _, c := range []struct {
		name              string
		isLoan            bool
		budget, maxTokens int64
		claimed           int64
	}{
		{name: "loan", isLoan: true, budget: 900, maxTokens: 572, claimed: 140},
		{name: "tokens held ahead", budget: 20_000, maxTokens: 300, claimed: (1+prefetched)*300 - 160},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5)
				order := f.order("p")
				if c.isLoan {
					f.outage()
				}
				r, err := f.host(order[4]).Reserve(t.Context(), "p", c.budget, c.maxTokens)
				is.NoErr(err)
				f.kill(f.index(order[0]))
				r.Spend(140)
				r.Release()
				f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
				time.Sleep(time.Second)
				f.revive(t, f.index(order[0]))
				f.loseSettlement.Store(order[0], true)
				time.Sleep(8 * time.Second)
				checkClaimed(t, f, c.claimed)
			})
		})
	}
}

// prefetched is how many turns ahead the preferred host claims of a large budget.
const prefetched = 2

// The asking host ends while the asked one claims for it. The connection between them then ends too,
// before the answer is written, so that no turn can have run. Nobody reports what the reservation has
// spent, and its tokens would stay claimed.
func TestClaimOfAnAskerThatEndsBeforeTheAnswerIsFreed(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults metastore.Faults
	}{
		{name: "store answers"},
		{name: "answer of the store is lost", faults: metastore.Faults{LoseAnswers: 1}},
		{name: "append takes effect late", faults: metastore.Faults{Late: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Steps of half a call to the store, until the asker lives to see the answer.
			isAnswered := false
			for after := time.Duration(0); !isAnswered; after += latency / 2 {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3)
					asked := f.host(f.order("p")[0])
					f.store.SetFaults(asked.peers.Self(), c.faults)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					time.AfterFunc(after, cancel)
					began := time.Now()
					answer := asked.Lend(ctx, port.LendRequest{
						Reservation: 1, Account: 2, Program: "p", Budget: 900, MaxTokens: 572, MaxWait: maxClaimWait,
					})
					took := time.Since(began)
					if answer.Decision == port.LendGranted {
						is.True(took <= after) // At the same instant either may come first.
						isAnswered = true      // A turn may run.
						return
					}
					is.True(took >= after)
					time.Sleep(3 * time.Second)
					f.store.Flush()
					time.Sleep(time.Second)
					checkClaimed(t, f, 0)
					is.Equal(asked.lending.count(), 0)
				})
			}
		})
	}
}
