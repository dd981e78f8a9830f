package spending

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
)

// A small budget holds one turn at its maximum. A host that reached no other host has
// claimed it while the store was overloaded, as after a simultaneous start of all hosts,
// and spent nothing. Other hosts must get the tokens.
func TestTokensClaimedFromASlowStoreAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		order := f.order("p")
		f.cutOff.Store(order[3], true)
		a := f.host(order[3])
		// The host learns by and by that the store has become slow.
		delays := []time.Duration{16 * time.Millisecond, 60 * time.Millisecond, 110 * time.Millisecond, 150 * time.Millisecond}
		for i := 0; len(delays) > 0; i++ {
			program := fmt.Sprint("other", i)
			if a.partitionOf(program) != a.partitionOf("p") {
				continue
			}
			f.store.SetFaults(order[3], metastore.Faults{Delay: delays[0]})
			is.NoErr(turn(a, program, 20_000, 280, 70))
			delays = delays[1:]
		}
		is.NoErr(turn(a, "p", 900, 570, 0))
		f.store.SetFaults(order[3], metastore.Faults{})
		f.cutOff.Clear()
		time.Sleep(slowAppendTTL + time.Second)
		is.NoErr(turn(f.host(order[2]), "p", 900, 570, 100))
	})
}

// An append takes effect after the turn that needed it has been given up.
func TestTokensOfALateClaimAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		order := f.order("p")
		f.cutOff.Store(order[3], true)
		f.store.SetFaults(order[3], metastore.Faults{Late: 3, Delay: 390 * time.Millisecond})
		is.True(isUnknown(turn(f.host(order[3]), "p", 900, 570, 0)))
		f.store.SetFaults(order[3], metastore.Faults{})
		f.store.Flush()
		f.cutOff.Clear()
		time.Sleep(slowAppendTTL + 2*time.Second)
		is.NoErr(turn(f.host(order[2]), "p", 900, 570, 100))
	})
}
