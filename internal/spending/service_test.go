package spending

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

func TestSliceServesFurtherTurnsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		is.NoErr(turn(f.hosts[0], "p", 20000, 280, 70))
		calls := f.store.Calls()
		for range 6 {
			is.NoErr(turn(f.hosts[0], "p", 20000, 280, 70))
		}
		is.Equal(f.store.Calls(), calls)
	})
}

func TestFirstTurnWaitsForTwoCallsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		for i := range 40 {
			is.NoErr(turn(f.hosts[0], fmt.Sprint("other", i), 20000, 280, 70))
		}
		started := time.Now()
		is.NoErr(turn(f.hosts[1], "p", 20000, 280, 70))
		is.True(time.Since(started) <= 2*latency)
	})
}

// Each turn of a program arrives at another host. They fit a small budget only if
// hosts give back what they don't use: otherwise the third host is refused when 84
// tokens of 1,300 are spent.
func TestTurnsAtDifferentHostsFitASmallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		const budget, maxTokens, spent = 1300, 280, 100
		for i := range 8 {
			is.NoErr(turn(f.hosts[i], "p", budget, maxTokens, spent))
		}
	})
}

func TestSpentBudgetIsRefusedAtAllHostsAndAfterRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		const budget, maxTokens = 840, 280
		granted := 0
		for i := range 30 {
			err := turn(f.hosts[i%3], "runaway", budget, maxTokens, maxTokens)
			if err == nil {
				granted += maxTokens
				continue
			}
			is.True(isSpent(err))
		}
		is.Equal(granted, budget)
		f.restart(t)
		for _, h := range f.hosts {
			is.True(isSpent(turn(h, "runaway", budget, maxTokens, maxTokens)))
		}
	})
}

func TestConcurrentTurnsShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		const budget, maxTokens, turns = 840, 280, 24
		results := make(chan error, turns)
		for i := range turns {
			go func() {
				r, err := f.hosts[i%4].Reserve(context.Background(), "p", budget, maxTokens)
				if err == nil {
					r.Spend(maxTokens)
					time.Sleep(100 * time.Millisecond)
					r.Release()
				}
				results <- err
			}()
		}
		granted := 0
		for range turns {
			if err := <-results; err == nil {
				granted++
			}
		}
		is.True(granted*maxTokens <= budget)
		is.True(granted >= 2)
	})
}

func TestClaimWithLostAnswerIsNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		f.store.SetFaults("host-0", metastore.Faults{LoseAnswers: 1})
		err := turn(f.hosts[0], "p", 840, 280, 70)
		is.True(err == nil || isUnknown(err))
		time.Sleep(3 * time.Second)
		is.NoErr(turn(f.hosts[0], "p", 840, 280, 70))
		time.Sleep(3 * time.Second)
		is.True(f.hosts[0].ledger("p").claimed("p") <= 2*70+280)
	})
}

func TestLateClaimIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		f.store.SetFaults("host-0", metastore.Faults{Late: 1})
		// The delayed claim is for 350 tokens. Another host claims instead.
		is.NoErr(turn(f.hosts[0], "p", 840, 280, 280))
		time.Sleep(3 * time.Second)
		is.NoErr(turn(f.hosts[0], "p", 840, 280, 280))
		is.NoErr(turn(f.hosts[0], "p", 840, 280, 280))
		f.store.Flush()
		is.True(isSpent(turn(f.hosts[1], "p", 840, 280, 280)))
		is.Equal(f.hosts[1].ledger("p").claimed("p"), int64(840))
	})
}

// Five of twelve hosts do not reach the store. A host that asks only others that are
// cut off must not lend tokens that the rest claim in the log.
func TestHostCutOffFromTheStoreClaimsThroughOthers(t *testing.T) {
	for _, fault := range []metastore.Faults{{Refuse: true}, {Silent: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 12)
			for i := range 5 {
				f.store.SetFaults(f.names[i], fault)
			}
			const budget, maxTokens = 840, 280
			var granted int64
			for i := range 60 {
				if err := turn(f.hosts[i%12], "runaway", budget, maxTokens, maxTokens); err == nil {
					granted += maxTokens
				}
			}
			is.True(granted <= budget)
			is.True(granted >= budget-maxTokens)
			is.NoErr(turn(f.hosts[0], "good", 5000, 280, 70))
			is.True(!f.hosts[0].IsIsolated())
		})
	}
}

func TestHostsLendWhileTheStoreIsUnavailable(t *testing.T) {
	for _, fault := range []metastore.Faults{{Refuse: true}, {Silent: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 12)
			is.NoErr(turn(f.hosts[0], "old", 3000, 280, 70))
			f.store.SetFaults(metastore.EveryHost, fault)
			for _, h := range f.hosts {
				_ = turn(h, "probe", 20000, 280, 70)
			}
			time.Sleep(largeLoanDelay)
			for i := range 5 {
				is.NoErr(turn(f.hosts[i], "new", 1300, 280, 70))
				is.NoErr(turn(f.hosts[i], "old", 3000, 280, 70))
				// Programs pause between turns.
				time.Sleep(50 * time.Millisecond)
			}
			var granted int64
			for i := range 60 {
				if err := turn(f.hosts[i%12], "runaway", 840, 280, 280); err == nil {
					granted += 280
				}
			}
			is.True(granted <= 840)
			f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
			time.Sleep(5 * time.Second)
			is.NoErr(turn(f.hosts[3], "new", 1300, 280, 70))
			is.NoErr(f.hosts[3].ledger("new").catchUp(t.Context(), 0))
			is.True(f.hosts[3].ledger("new").claimed("new") >= 6*70)
			for i := range 24 {
				if err := turn(f.hosts[i%12], "runaway", 840, 280, 280); err == nil {
					granted += 280
				}
			}
			is.True(granted <= 840+280)
		})
	}
}

// A host that starts while the store is unavailable knows no claims.
func TestHostStartedInAnOutageDoesNotLend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		is.NoErr(turn(f.hosts[0], "p", 3000, 280, 280))
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		time.Sleep(time.Second)
		f.restart(t)
		for _, h := range f.hosts {
			is.True(isUnknown(turn(h, "p", 3000, 280, 280)))
		}
	})
}

// Hosts leave and are killed one after the other while the store is unavailable.
// Successive lenders must not each lend the same program 420 tokens of 840.
func TestLendersThatEndDoNotMultiplyLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		for i := range f.hosts {
			_ = turn(f.hosts[i], fmt.Sprint("probe", i), 20000, 280, 70)
		}
		time.Sleep(500 * time.Millisecond)
		const budget, maxTokens = 840, 280
		var granted int64
		for _, lender := range f.order("runaway")[:4] {
			for _, h := range f.hosts {
				if turn(h, "runaway", budget, maxTokens, maxTokens) == nil {
					granted += maxTokens
				}
			}
			time.Sleep(50 * time.Millisecond)
			f.cutOff.Store(lender, true)
		}
		is.True(granted <= maxTokens)
	})
}

// All hosts lose the answers to appends while reads succeed. The log is not
// unavailable then, and hosts must not lend. Otherwise a program got 1,162 tokens
// although 840 + 280 is the limit.
func TestLostAnswersAreNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		for _, name := range f.names {
			f.store.SetFaults(name, metastore.Faults{LoseAnswers: 6})
		}
		var granted int64
		for i := range 80 {
			if err := turn(f.hosts[i%4], "runaway", 840, 280, 280); err == nil {
				granted += 280
			}
			is.True(!f.hosts[i%4].ledger("runaway").isUnavailable())
		}
		is.True(granted <= 840)
		is.Equal(f.hosts[0].lending.count()+f.hosts[1].lending.count(), 0)
	})
}

// Tokens are given back by a claim whose append is delayed. They must not be spent
// when an earlier claim is read back in the meantime.
func TestEarlierClaimDoesNotRestoreReleasedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		const budget, maxTokens = 840, 280
		// The first claim takes effect, but its answer is lost.
		f.store.SetFaults("host-0", metastore.Faults{LoseAnswers: 1, Late: 0})
		is.NoErr(turn(f.hosts[0], "p", budget, maxTokens, 10))
		// The claims that give back tokens take effect late.
		f.store.SetFaults("host-0", metastore.Faults{Late: 3})
		time.Sleep(2 * time.Second)
		var granted int64 = 10
		for range 6 {
			if err := turn(f.hosts[0], "p", budget, maxTokens, maxTokens); err == nil {
				granted += maxTokens
			}
			f.store.Flush()
			if err := turn(f.hosts[1], "p", budget, maxTokens, maxTokens); err == nil {
				granted += maxTokens
			}
		}
		is.True(granted <= budget)
	})
}

func TestIsolatedHostRefusesAndReportsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		f.cutOff.Store("host-0", true)
		f.store.SetFaults("host-0", metastore.Faults{Silent: true})
		started := time.Now()
		is.True(isUnknown(turn(f.hosts[0], "p", 5000, 280, 70)))
		is.True(time.Since(started) < time.Second)
		is.True(f.hosts[0].IsIsolated())
		started = time.Now()
		is.True(isUnknown(turn(f.hosts[0], "p", 5000, 280, 70)))
		is.True(time.Since(started) < 100*time.Millisecond)
		f.store.SetFaults("host-0", metastore.Faults{})
		time.Sleep(3 * time.Second)
		is.True(!f.hosts[0].IsIsolated())
		is.NoErr(turn(f.hosts[0], "p", 5000, 280, 70))
	})
}

func TestUnsettledLoanCountsInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		answer := f.hosts[1].Lend(context.Background(), port.LendRequest{Program: "p", Budget: 560, MaxTokens: 280})
		is.Equal(answer.Decision, port.LendGranted)
		is.NoErr(turn(f.hosts[0], "p", 560, 280, 280))
		is.True(isSpent(turn(f.hosts[0], "p", 560, 280, 280)))
	})
}

func TestInvalidClaimRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		for i := range partitions {
			_, err := f.store.Client("x").Append(context.Background(), port.Partition{Topic: topic, Part: i}, [][]byte{{0xff, 0xff}, {}})
			is.NoErr(err)
		}
		is.NoErr(turn(f.hosts[0], "p", 5000, 280, 70))
	})
}

// All hosts start at once and read a long log over a slow link, as after a power
// failure. If it is read as a single page, the read exceeds readTimeout, the log counts
// as unavailable, and hosts refuse turns for ten seconds.
func TestLongLogIsReadInPagesWithinTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		const claims = 3000
		for part := range partitions {
			var records [][]byte
			for i := range uint64(claims) {
				data, err := encode(budget.Claim{Writer: 1, Sequence: i + 1, Program: fmt.Sprint("program", part, i), Budget: 20000, Total: 840}, mark{})
				is.NoErr(err)
				records = append(records, data)
			}
			_, err := f.store.Client("x").Append(context.Background(), port.Partition{Topic: topic, Part: part}, records)
			is.NoErr(err)
		}
		// A page arrives within readTimeout. The whole log would not.
		f.store.SetBytesPerSecond(4 * pageBytes)
		restarted := f.start(t, 0)
		time.Sleep(10 * time.Second)
		for i := range 8 {
			is.NoErr(turn(restarted, fmt.Sprint("new", i), 20000, 280, 70))
		}
		for _, l := range restarted.ledgers {
			is.True(!l.isUnavailable())
			is.True(l.isCurrent.Load())
		}
	})
}

func TestTrimmedLogIsReadFromItsOldestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		is.NoErr(turn(f.hosts[0], "p", 5000, 280, 70))
		for i := range partitions {
			f.store.Trim(port.Partition{Topic: topic, Part: i}, 1)
		}
		is.NoErr(turn(f.hosts[1], "p", 5000, 280, 70))
	})
}

// Calls to the store are billed even if it does not answer them. Without a limit, 75
// hosts made 67,194 calls, most of them in an outage of seven seconds.
func TestProbesOfAnUnavailableStoreAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6)
		f.outage()
		const seconds, perSecond = 6, 5
		calls := f.store.Calls()
		for i := range seconds * 20 {
			_ = turn(f.hosts[i%6], fmt.Sprint("program", i), 20000, 280, 70)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(f.store.Calls()-calls <= len(f.hosts)*seconds*perSecond)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			for _, l := range h.ledgers {
				is.True(!l.isUnavailable())
			}
		}
	})
}
