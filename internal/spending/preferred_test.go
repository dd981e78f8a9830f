package spending

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"

	"yuccausher/internal/standin/metastore"
)

// Turns of a program arrive at any host. If each host claims by itself, 75 hosts make
// 0.6 claims per turn, with two calls each, and calls become the largest cost.
func TestPreferredHostClaimsForAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		calls := f.store.Calls()
		for i := range 8 {
			is.NoErr(turn(f.hosts[i], "p", 20000, 280, 70))
			time.Sleep(50 * time.Millisecond)
		}
		is.True(f.store.Calls()-calls <= 4)
	})
}

// A preferred host that has stopped or is frozen delays one turn by a short wait and the
// following turns not at all.
func TestUnresponsivePreferredHostIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		order := f.order("p")
		f.freeze(order[0])
		asker := f.host(order[1])
		started := time.Now()
		is.NoErr(turn(asker, "p", 20000, 280, 280))
		is.True(time.Since(started) <= 2*preferredTimeout+4*latency)
		started = time.Now()
		for range 5 {
			is.NoErr(turn(asker, "p", 20000, 280, 280))
		}
		is.True(time.Since(started) <= 5*2*latency)
	})
}

// A preferred host that is cut off from the store says so, and the other hosts claim
// themselves.
func TestPreferredHostWithoutTheStoreIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		order := f.order("p")
		f.store.SetFaults(order[0], metastore.Faults{Refuse: true})
		for range 3 {
			_ = turn(f.host(order[0]), "p", 20000, 280, 280)
		}
		started := time.Now()
		is.NoErr(turn(f.host(order[1]), "p", 20000, 280, 280))
		is.True(time.Since(started) <= preferredTimeout+4*latency)
	})
}

// While the store is 60 times slower than usual, hosts wait for the preferred host.
// Claims by all hosts would slow the store down further.
func TestPreferredHostIsWaitedForWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		f.store.SetFaults(metastore.EveryHost, metastore.Faults{Delay: 59 * latency})
		calls := f.store.Calls()
		order := f.order("p")
		for _, name := range order[1:] {
			is.NoErr(turn(f.host(name), "p", 20000, 280, 70))
		}
		is.True(f.store.Calls()-calls <= 12)
	})
}

// A reservation whose borrower ends without settling it counts as spent in full, and
// stays open for loanExpiry only.
func TestUnsettledReservationExpiresAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		preferred := f.host(order[0])
		_, err := f.host(order[1]).Reserve(t.Context(), "p", 20000, 280)
		is.NoErr(err)
		time.Sleep(loanExpiry + time.Second)
		is.NoErr(turn(f.host(order[1]), "p", 20000, 280, 70))
		time.Sleep(time.Second)
		l := preferred.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		s := l.slices["p"]
		is.Equal(s.Open, int64(0))
		is.Equal(s.Spent, int64(350))
	})
}

// All hosts restart at once and accept no connections for a moment. If a reservation
// is not settled then, 572 tokens of a budget of 900 stay reserved and the program is
// refused although its budget is not spent.
func TestSettlementIsRetriedUntilTheLenderAcceptsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		r, err := f.host(order[1]).Reserve(t.Context(), "p", 900, 572)
		is.NoErr(err)
		f.cutOff.Store(order[0], true)
		r.Release()
		time.Sleep(time.Second)
		f.cutOff.Delete(order[0])
		time.Sleep(3 * time.Second)
		is.NoErr(turn(f.host(order[0]), "p", 900, 572, 100))
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
	})
}

// A host that no longer waits for the answer of the preferred host does not settle
// the reservation.
func TestReservationForACancelledRequestIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		preferred := f.host(f.order("p")[0])
		is.NoErr(turn(preferred, "p", 20000, 280, 70))
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		answer := preferred.Lend(cancelled, port.LendRequest{Program: "p", Budget: 20000, MaxTokens: 280, MaxWait: maxClaimWait})
		is.True(answer.Decision != port.LendGranted)
		l := preferred.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		is.Equal(l.slices["p"].Open, int64(0))
	})
}

// While all hosts restart, a preferred host grants a reservation that the asking host
// no longer waits for. If nobody settles it, its tokens stay reserved.
func TestReservationIsSettledAfterItsGrantWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		f.loseAnswer.Store(order[0], true)
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
		time.Sleep(time.Second)
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
		is.NoErr(turn(f.host(order[0]), "p", 900, 572, 100))
	})
}

func TestSettledReservationIsNotGrantedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		preferred := f.host(f.order("p")[0])
		is.NoErr(preferred.SettleLoan(t.Context(), 77, 0))
		preferred.Lend(t.Context(), port.LendRequest{Reservation: 77, Program: "p", Budget: 20000, MaxTokens: 280, MaxWait: maxClaimWait})
		l := preferred.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		is.Equal(l.slices["p"].Open, int64(0))
	})
}

// After a simultaneous start of all hosts their processors are busy and preferred hosts
// answer late. Hosts that then claim by themselves all read all partitions, and the log
// gets slower than the limit at which it counts as unavailable.
func TestPartitionsAreReadByFewHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, programs = 24, 96
		f := newFleet(t, hosts)
		for i := range programs {
			is.NoErr(turn(f.hosts[i%hosts], fmt.Sprint("p", i), 20000, 280, 70))
		}
		f.restart(t)
		frozen := make(map[string]bool)
		for part := range partitions {
			frozen[f.hosts[0].hostOrder(part)[0]] = true
		}
		for name := range frozen {
			f.freeze(name)
		}
		for i := range programs {
			if s := f.hosts[(i*7)%hosts]; !frozen[f.names[(i*7)%hosts]] {
				is.NoErr(turn(s, fmt.Sprint("p", i), 20000, 280, 70))
			}
		}
		started, bound := 0, 0
		for part := range partitions {
			readers := f.hosts[0].hostOrder(part)[:readerCount]
			if !slices.ContainsFunc(readers, func(name string) bool { return !frozen[name] }) {
				continue // any host has to claim by itself
			}
			bound += readerCount
			for _, s := range f.hosts {
				if s.ledgers[part].isStarted.Load() {
					started++
				}
			}
		}
		is.True(bound > 0)
		is.True(started <= bound)
	})
}
