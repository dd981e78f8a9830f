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

// Turns of a program come through any host. On the grown ledger site, 75 hosts
// made 0.6 claims a turn, two calls each, and the price of calls was the
// largest.
func TestProgramIsClaimedAtItsHomeForAllHosts(t *testing.T) {
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

// A home that is gone or frozen costs a turn a short wait, and the turns after it
// none.
func TestHomeThatDoesNotAnswerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		order := f.order("p")
		f.freeze(order[0])
		asker := f.host(order[1])
		started := time.Now()
		is.NoErr(turn(asker, "p", 20000, 280, 280))
		is.True(time.Since(started) <= 2*homeTimeout+4*latency)
		started = time.Now()
		for range 5 {
			is.NoErr(turn(asker, "p", 20000, 280, 280))
		}
		is.True(time.Since(started) <= 5*2*latency)
	})
}

// A home that is cut off from the store says so, and others claim themselves.
func TestHomeWithoutTheStoreIsPassedOver(t *testing.T) {
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
		is.True(time.Since(started) <= homeTimeout+4*latency)
	})
}

// A store that is 60 times slower is waited for at the home: claims of all hosts
// would make it slower still.
func TestHomeIsWaitedForWhileTheStoreIsSlow(t *testing.T) {
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

// A reservation whose host ends before it has settled it counts in full, and no
// longer than it must as one that is open.
func TestReservationThatIsNeverSettledIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		home := f.host(order[0])
		_, err := f.host(order[1]).Reserve(t.Context(), "p", 20000, 280)
		is.NoErr(err)
		time.Sleep(loanExpiry + time.Second)
		is.NoErr(turn(f.host(order[1]), "p", 20000, 280, 70))
		time.Sleep(time.Second)
		l := home.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		s := l.slices["p"]
		is.Equal(s.Open, int64(0))
		is.Equal(s.Spent, int64(350))
	})
}

// Load pattern: all hosts start again at once and take no connections for a moment.
// Seen on a hunted day: a reservation was not settled, so that 572 of a budget of 900
// were gone and the program was told that its budget was spent.
func TestReservationIsSettledWhenItsHomeTakesConnectionsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		r, err := f.host(order[1]).Reserve(t.Context(), "p", 900, 572)
		is.NoErr(err)
		f.cut.Store(order[0], true)
		r.Release()
		time.Sleep(time.Second)
		f.cut.Delete(order[0])
		time.Sleep(3 * time.Second)
		is.NoErr(turn(f.host(order[0]), "p", 900, 572, 100))
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
	})
}

// A host that has gone on without the answer of a home settles nothing.
func TestReservationForAHostThatHasGoneOnIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		home := f.host(f.order("p")[0])
		is.NoErr(turn(home, "p", 20000, 280, 70))
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		answer := home.Lend(gone, port.LendRequest{Program: "p", Budget: 20000, MaxTokens: 280, MaxWait: maxPatience})
		is.True(answer.Decision != port.LendGranted)
		l := home.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		is.Equal(l.slices["p"].Open, int64(0))
	})
}

// Seen on hunted days, as all hosts started again: a home granted a reservation whose
// asker had left it alone meanwhile, so that nobody settled it.
func TestReservationWhoseGrantGetsLostIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		order := f.order("p")
		f.mute.Store(order[0], true)
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
		time.Sleep(time.Second)
		is.NoErr(turn(f.host(order[1]), "p", 900, 572, 100))
		is.NoErr(turn(f.host(order[0]), "p", 900, 572, 100))
	})
}

func TestReservationThatWasSettledIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		home := f.host(f.order("p")[0])
		home.SettleLoan(77, 0)
		home.Lend(t.Context(), port.LendRequest{Reservation: 77, Program: "p", Budget: 20000, MaxTokens: 280, MaxWait: maxPatience})
		l := home.ledger("p")
		l.mu.Lock()
		defer l.mu.Unlock()
		is.Equal(l.slices["p"].Open, int64(0))
	})
}
