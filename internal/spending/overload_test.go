package spending

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/standin/metastore"
)

// Guards against hosts that take refusals for the rate of calls for an outage, and keep the
// store overloaded by probing all partitions whenever one of them answers.
func TestStoreIsNotOverloadedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, perSecond = 40, 300
		f := newLimitedFleet(t, hosts, perSecond)
		for i, h := range f.hosts {
			for part := range partitions {
				h.startedLedger(part)
			}
			is.NoErr(turn(h, fmt.Sprint("before", i), 20000, 280, 70))
		}
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Silent: true})
		f.turns(2 * time.Second)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		f.turns(2 * time.Second)
		before := f.store.Calls()
		f.turns(4 * time.Second)
		calls := (f.store.Calls() - before) / 4
		t.Logf("calls a second, two seconds after the outage: %d", calls)
		is.True(calls <= perSecond)
		for i, h := range f.hosts {
			is.NoErr(turn(h, fmt.Sprint("after", i), 20000, 280, 70))
		}
	})
}

// turns lets each host run a turn of a program of its own about once a second, for a time. Turns may be refused.
func (f *fleet) turns(d time.Duration) {
	var done sync.WaitGroup
	for i, h := range f.hosts {
		done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(len(f.hosts)))
			for begun := time.Now(); time.Since(begun) < d; time.Sleep(time.Second) {
				_ = turn(h, fmt.Sprint("during", i, begun.UnixNano()), 20000, 280, 70)
			}
		})
	}
	done.Wait()
}
