package spending

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
)

// settledTurn runs a turn and waits until the log counts what it has spent, as a turn does
// before its answer ends.
func settledTurn(t *testing.T, s *Service, program string, budget, maxTokens, spent int64) error {
	t.Helper()
	r, err := s.Reserve(t.Context(), program, budget, maxTokens)
	if err != nil {
		return err
	}
	r.Spend(spent)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return r.Settle(ctx)
}

// All hosts lose power right after a turn that its caller got whole. The tokens that the
// turn reserved and did not spend stayed claimed, so that the program was refused for good
// with 760 of its 900 tokens left.
func TestProgramsGoOnAfterAllHostsFall(t *testing.T) {
	for _, c := range []struct {
		budget, maxTokens, spent int64
		hosts, turns, falls      int
	}{
		{budget: 900, maxTokens: 572, spent: 140, hosts: 3, turns: 1, falls: 1},
		{budget: 900, maxTokens: 572, spent: 42, hosts: 5, turns: 1, falls: 1},
		{budget: 1300, maxTokens: 572, spent: 140, hosts: 3, turns: 3, falls: 1},
		{budget: 900, maxTokens: 300, spent: 70, hosts: 3, turns: 4, falls: 1},
		{budget: 1500, maxTokens: 572, spent: 140, hosts: 3, turns: 1, falls: 4},
		{budget: 2800, maxTokens: 280, spent: 70, hosts: 3, turns: 2, falls: 6},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, c.hosts)
				for range c.falls {
					for i := range c.turns {
						is.NoErr(settledTurn(t, f.hosts[i%c.hosts], "p", c.budget, c.maxTokens, c.spent))
					}
					f.fall(t)
				}
				is.NoErr(settledTurn(t, f.hosts[1], "p", c.budget, c.maxTokens, c.spent))
			})
		})
	}
}

// One of several hosts loses power right after turns that their callers got whole.
func TestProgramsGoOnAfterOneHostFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		for i := range 12 {
			is.NoErr(settledTurn(t, f.hosts[i%3], fmt.Sprint("p", i), 900, 572, 140))
		}
		f.kill(0)
		time.Sleep(time.Second)
		for i := range 12 {
			is.NoErr(settledTurn(t, f.hosts[1+i%2], fmt.Sprint("p", i), 900, 572, 140))
		}
	})
}

// The preferred host ends while turns run that it has reserved the tokens for, and the turns
// end whole before it is back. Their programs were refused for good, since nobody else gave
// back what they had not spent. A run that has recorded the end of a turn must not be spoken
// for, nor one of a build that does not name its writer.
func TestTurnsOutliveTheHostThatReservedTheirTokens(t *testing.T) {
	for _, c := range []struct {
		name             string
		isSilent, isLost bool
		// claimed is what the log counts in the end.
		claimed int64
	}{
		{name: "killed", claimed: 140},
		{name: "of an earlier build", isSilent: true, claimed: 572},
		{name: "killed once it had the report", isLost: true, claimed: 140},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const budget, maxTokens, spent = 900, 572, 140
				f := newFleet(t, 3)
				order := f.order("p")
				preferred := f.index(order[0])
				if c.isSilent {
					f.silent.Store(order[0], true)
				}
				r, err := f.host(order[1]).Reserve(t.Context(), "p", budget, maxTokens)
				is.NoErr(err)
				if c.isLost {
					f.loseSettlement.Store(order[0], true)
				} else {
					f.kill(preferred)
				}
				r.Spend(spent)
				r.Release()
				time.Sleep(firstRetry / 2)
				if c.isLost {
					f.kill(preferred)
				}
				time.Sleep(time.Second)
				f.revive(t, preferred)
				time.Sleep(3 * time.Second)
				for _, s := range f.hosts {
					is.NoErr(s.startedLedger(s.partitionOf("p")).probe(t.Context()))
					is.Equal(s.ledger("p").claimed("p"), c.claimed)
				}
			})
		})
	}
}

// The end of a turn must not wait for a log that is unavailable.
func TestSettlementFailsWhileTheLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		r, err := f.hosts[0].Reserve(t.Context(), "p", 900, 572)
		is.NoErr(err)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
		_ = turn(f.hosts[0], "other", 900, 572, 0)
		time.Sleep(500 * time.Millisecond)
		r.Spend(140)
		started := time.Now()
		is.True(r.Settle(t.Context()) != nil)
		is.True(time.Since(started) < 100*time.Millisecond)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		time.Sleep(time.Second)
		is.NoErr(r.Settle(t.Context()))
		f.fall(t)
		is.NoErr(turn(f.hosts[0], "p", 900, 572, 140))
	})
}
