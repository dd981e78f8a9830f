package spending

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
