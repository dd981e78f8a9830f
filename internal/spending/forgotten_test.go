package spending

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
	"yuccausher/internal/standin/metastore"
)

// runawayTurn runs a turn that takes as much as it gets, as the gateway does: it begins with a part of its
// most tokens and ends if it does not get the rest. It returns how many tokens its caller got.
func runawayTurn(s *Service, program string, budget, maxTokens int64) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var got int64
	var parts []gateway.Reservation
	for got < maxTokens {
		r, err := s.ReservePart(ctx, program, budget, (maxTokens-got+3)/4, maxTokens-got)
		if err != nil {
			break
		}
		r.Spend(r.Limit())
		got += r.Limit()
		parts = append(parts, r)
	}
	for _, r := range parts {
		r.Release()
	}
	return got
}

// runAwayFor has a program run away at the hosts that are up.
func (f *fleet) runAwayFor(d time.Duration, program string, budget, maxTokens int64) int64 {
	var got int64
	for started := time.Now(); time.Since(started) < d; time.Sleep(20 * time.Millisecond) {
		for i, name := range f.names {
			if _, isDown := f.down.Load(name); !isDown {
				got += runawayTurn(f.hosts[i], program, budget, maxTokens)
			}
		}
	}
	return got
}

// All hosts that know of the loans of an outage end before it does. What was lent was forgotten, so that a
// program got 1,200 tokens of 800 + 100.
func TestForgottenLoansStayWithinTheBudget(t *testing.T) {
	for _, c := range []struct {
		name             string
		total, maxTokens int64
		// before says that the program has turns before the outage.
		before bool
		// killed is how many hosts of the program's order end; of six.
		killed int
		// outage is how long the store is away before that.
		outage time.Duration
		// isBack says that the hosts start again after the outage, and not in it.
		isBack bool
	}{
		{name: "new program", total: 800, maxTokens: 100, killed: 6, outage: 4 * time.Second, isBack: true},
		{name: "program under way", total: 800, maxTokens: 100, before: true, killed: 6, outage: 4 * time.Second, isBack: true},
		{name: "short outage", total: 800, maxTokens: 100, killed: 6, outage: time.Second, isBack: true},
		{name: "long outage", total: 800, maxTokens: 100, before: true, killed: 6, outage: 20 * time.Second},
		{name: "hosts start in the outage", total: 800, maxTokens: 100, killed: 6, outage: 4 * time.Second},
		{name: "lender and readers", total: 800, maxTokens: 100, before: true, killed: 3, outage: 4 * time.Second, isBack: true},
		{name: "all but one", total: 800, maxTokens: 100, killed: 5, outage: 4 * time.Second},
		{name: "large budget", total: 12_000, maxTokens: 280, before: true, killed: 6, outage: 6 * time.Second, isBack: true},
		{name: "small budget", total: 900, maxTokens: 572, killed: 6, outage: 6 * time.Second, isBack: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 6)
				var got int64
				if c.before {
					got += runawayTurn(f.hosts[0], "p", c.total, c.maxTokens)
				}
				order := f.order("p")
				f.outage()
				got += f.runAwayFor(c.outage, "p", c.total, c.maxTokens)
				for _, name := range order[:c.killed] {
					f.kill(f.index(name))
				}
				time.Sleep(time.Second)
				if c.isBack {
					f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
				}
				for _, name := range order[:c.killed] {
					f.revive(t, f.index(name))
				}
				got += f.runAwayFor(2*time.Second, "p", c.total, c.maxTokens)
				f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
				got += f.runAwayFor(10*time.Second, "p", c.total, c.maxTokens)
				is.True(got <= c.total+c.maxTokens)
				is.True(got >= c.total/2) // the program went on
			})
		})
	}
}

// A program under way sees two outages in each of which all hosts end.
func TestLoansOfTwoOutagesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget, maxTokens = 1600, 100
		f := newFleet(t, 6)
		got := runawayTurn(f.hosts[0], "p", budget, maxTokens)
		for range 2 {
			f.outage()
			got += f.runAwayFor(4*time.Second, "p", budget, maxTokens)
			f.fall(t)
			f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
			time.Sleep(readerCheckInterval + time.Second)
			got += runawayTurn(f.hosts[1], "p", budget, maxTokens)
		}
		got += f.runAwayFor(10*time.Second, "p", budget, maxTokens)
		is.True(got <= budget+maxTokens)
	})
}

// Without the fall of all hosts that know of loans, a budget can be spent whole: after an outage, a fall
// of all hosts while the log answers, a start of one host after the other, and a pause.
func TestWholeBudgetIsSpentUnlessLoansMayBeForgotten(t *testing.T) {
	const budget, maxTokens = 1500, 100
	for name, disturb := range map[string]func(t *testing.T, f *fleet){
		"outage": func(_ *testing.T, f *fleet) {
			f.outage()
			time.Sleep(5 * time.Second)
			f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
		},
		"fall":           func(t *testing.T, f *fleet) { f.fall(t) },
		"fall when idle": func(t *testing.T, f *fleet) { time.Sleep(40 * time.Second); f.fall(t) },
		"outage and starts": func(t *testing.T, f *fleet) {
			f.outage()
			time.Sleep(5 * time.Second)
			f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
			for i := range f.hosts {
				f.kill(i)
				time.Sleep(time.Second)
				f.revive(t, i)
				time.Sleep(readerCheckInterval + time.Second)
			}
		},
		"starts when idle": func(t *testing.T, f *fleet) {
			for i := range f.hosts {
				time.Sleep(10 * time.Second)
				f.kill(i)
				f.revive(t, i)
			}
		},
		"pause": func(_ *testing.T, f *fleet) {
			for _, s := range f.hosts[:2] {
				s.invalidateReads()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4)
				got := runawayTurn(f.hosts[0], "p", budget, maxTokens)
				disturb(t, f)
				got += f.runAwayFor(20*time.Second, "p", budget, maxTokens)
				is.Equal(got, int64(budget))
			})
		})
	}
}

// fallSeeds is how many random courses of falls and outages are played.
const fallSeeds = 25

// Programs run away while outages come and go and hosts end in them, alone, some together or all.
func TestBudgetsHoldOverFallsInOutages(t *testing.T) {
	for seed := range uint64(fallSeeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			f := newFleet(t, 4)
			budgets := map[string]int64{"small": 900, "middle": 2800, "large": 9000}
			const maxTokens = 280
			got := make(map[string]int64)
			begun := make(map[string]bool)
			run := func() {
				for program, budget := range budgets {
					if begun[program] = begun[program] || random.IntN(4) == 0; begun[program] {
						got[program] += f.runAwayFor(time.Duration(random.IntN(400))*time.Millisecond, program, budget, maxTokens)
					}
				}
			}
			hasFallen := false
			for range 3 {
				run()
				f.store.SetFaults(metastore.EveryHost, metastore.Faults{Refuse: true})
				for range random.IntN(30) {
					run()
					time.Sleep(200 * time.Millisecond)
				}
				killed := random.Perm(len(f.hosts))[:random.IntN(len(f.hosts)+1)]
				if hasFallen && len(killed) == len(f.hosts) {
					killed = killed[:1] // two falls of all hosts are TestLoansOfTwoOutagesAreForgotten
				}
				hasFallen = hasFallen || len(killed) == len(f.hosts)
				for _, i := range killed {
					f.kill(i)
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				if random.IntN(2) == 0 {
					f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
				}
				for _, i := range killed {
					f.revive(t, i)
				}
				run()
				f.store.SetFaults(metastore.EveryHost, metastore.Faults{})
				time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			for program, budget := range budgets {
				got[program] += f.runAwayFor(5*time.Second, program, budget, maxTokens)
				if got[program] > budget+maxTokens {
					t.Errorf("seed %d: program %s got %d tokens of %d + %d", seed, program, got[program], budget, maxTokens)
				}
			}
		})
	}
}

// The marks of a host that has started after a gap do not hide it, and those of a host that has followed the
// partition since before the gap close it.
func TestMarksShowWhetherAPartitionWasFollowed(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name    string
		marks   []mark
		from    time.Time
		inDoubt bool
	}{
		{name: "none, as of an earlier build", from: at(time.Hour)},
		{name: "no gap", marks: []mark{{at: at(9 * time.Second), since: start}}, from: at(10 * time.Second)},
		{name: "gap until the start", marks: []mark{{at: at(9 * time.Second), since: start}}, from: at(12 * time.Second), inDoubt: true},
		{name: "gap that another host's mark follows", marks: []mark{{at: at(9 * time.Second), since: start}, {at: at(14 * time.Second), since: at(13 * time.Second)}}, from: at(14 * time.Second), inDoubt: true},
		{name: "outage that a host has outlived", marks: []mark{{at: at(9 * time.Second), since: start}, {at: at(20 * time.Second), since: at(8 * time.Second)}}, from: at(20 * time.Second)},
		{name: "mark from before the gap takes effect late", marks: []mark{{at: at(9 * time.Second), since: start}, {at: at(20 * time.Second), since: at(19 * time.Second)}, {at: at(9 * time.Second), since: start}}, from: at(20 * time.Second), inDoubt: true},
		{name: "host that has outlived it comes later", marks: []mark{{at: at(9 * time.Second), since: start}, {at: at(20 * time.Second), since: at(19 * time.Second)}, {at: at(21 * time.Second), since: start}}, from: at(21 * time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := following{retention: time.Minute, since: c.from}
			for _, m := range c.marks {
				f.observe(m)
			}
			f.start()
			is.Equal(f.isInDoubt(c.from), c.inDoubt)
			is.True(!f.isInDoubt(c.from.Add(2 * time.Minute)))
			is.Equal(f.adopt(mark{at: c.from.Add(time.Second), since: c.from}), !c.inDoubt)
			is.True(f.adopt(mark{at: c.from.Add(time.Second), since: start}))
			is.True(!f.isInDoubt(c.from))
			is.Equal(f.since, start)
		})
	}
}

// testClaim has all fields set.
var testClaim = budget.Claim{Writer: 1, Sequence: 2, Program: "p", Budget: 3, Total: 4, Settled: true}

func TestMarksDoNotChangeClaims(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_790_000_000_123)
	for _, m := range []mark{{}, {at: now, since: now.Add(-time.Minute)}} {
		records, err := encodeAll(nil, m)
		is.NoErr(err)
		is.Equal(len(records), 0)
		data, err := encode(testClaim, m)
		is.NoErr(err)
		c, got, err := decode(data)
		is.NoErr(err)
		is.Equal(c, testClaim)
		is.True(got.at.Equal(m.at) && got.since.Equal(m.since))
	}
}
