package conversation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
)

// A third of the hosts lose their path to the store while callers go on at all hosts.
// Some of the first hosts of each partition's order are cut off too. The time that a
// program's objective allows a turn for the way is 46 ms.
func TestTurnsAtHostsThatAreCutOffAreAppendedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, turns = 13, 12
		f := newFleet(t, hosts)
		var dialogues []*dialogue
		for i := range hosts {
			d := f.newDialogue(fmt.Sprint("p", i))
			is.NoErr(d.turn(f.names[i]))
			dialogues = append(dialogues, d)
		}
		for _, name := range f.names[:5] {
			f.store.SetFaults(name, metastore.Faults{Silent: true})
		}
		time.Sleep(time.Second)
		var total time.Duration
		for range turns {
			for i, d := range dialogues[:5] {
				started := time.Now()
				is.NoErr(d.turn(f.names[i]))
				total += time.Since(started)
			}
		}
		is.True(total/(5*turns) <= 46*time.Millisecond)
		f.restart(t, f.names...)
		for i, d := range dialogues {
			is.NoErr(d.turn(f.names[5+i%8]))
		}
	})
}
