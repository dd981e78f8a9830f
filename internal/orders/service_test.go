package orders_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	core "yuccausher/internal/core/orders"
	"yuccausher/internal/orders"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
	_ "yuccausher/internal/testutil"
)

// engines are targets that obey orders, some after a time.
type engines struct {
	port.Engine
	loadTime time.Duration

	mu     sync.Mutex
	states map[string]*state
	given  []given
}

type state struct {
	shown core.State
	epoch int64
}

// given is an order that reached a target.
type given struct {
	target string
	order  port.Order
	at     time.Time
}

func (e *engines) state(target string) *state {
	if e.states[target] == nil {
		e.states[target] = &state{}
	}
	return e.states[target]
}

// Status implements port.Engine.
func (e *engines) Status(_ context.Context, t port.Target) (port.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state(t.Name).shown
	return port.EngineStatus{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role}, nil
}

// Order implements port.Engine.
func (e *engines) Order(_ context.Context, t port.Target, o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, given{target: t.Name, order: o, at: time.Now()})
	s := e.state(t.Name)
	if t.ChecksFencing && o.Epoch < s.epoch {
		return &port.TargetError{Target: t.Name, Failure: port.FailureFenced}
	}
	s.epoch = max(s.epoch, o.Epoch)
	switch o.Kind {
	case port.OrderLoad:
		e.load(s, o.Value)
	case port.OrderVersion:
		s.shown.Version = o.Value
	case port.OrderAdapter:
		s.shown.Adapter = o.Value
	case port.OrderRole:
		s.shown.Role = o.Value
	}
	return nil
}

// load shows the model after the time that fetching the weights takes.
func (e *engines) load(s *state, model string) {
	if e.loadTime == 0 {
		s.shown.Model = model
		return
	}
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.shown.Model = model
	})
}

// orders returns what has reached the targets.
func (e *engines) orders() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.given)
}

func (e *engines) shown(target string) core.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(target).shown
}

// fleet is some stewards on one log and one set of targets.
type fleet struct {
	log     *standin.Log
	engines *engines
	hosts   []*host
}

// host is one steward; its orders can be held back on their way.
type host struct {
	port.Engine
	fleet   *fleet
	id      string
	holder  config.Holder
	service *orders.Service
	metrics tally.TestScope
	hold    atomic.Bool
	held    chan func() error
	// alive is how this host sees the others.
	alive atomic.Pointer[func(id string) bool]
}

func (h *host) sees(alive func(id string) bool) { h.alive.Store(&alive) }

func (h *host) Self() port.Host          { return port.Host{ID: h.id, Incarnation: 1} }
func (h *host) Changed() <-chan struct{} { return nil }

func (h *host) Table() []port.Member {
	var table []port.Member
	for _, other := range h.fleet.hosts {
		if (*h.alive.Load())(other.id) {
			table = append(table, port.Member{Host: other.Self(), State: port.MemberAlive})
		}
	}
	return table
}

// Order holds an order back if told to, as a host that is paused after its
// last check would.
func (h *host) Order(ctx context.Context, t port.Target, o port.Order) error {
	if !h.hold.Load() {
		return h.Engine.Order(ctx, t, o)
	}
	h.held <- func() error { return h.Engine.Order(context.Background(), t, o) }
	<-ctx.Done()
	return &port.TargetError{Target: t.Name, Failure: port.FailureTimeout}
}

// run starts stewards in a bubble of virtual time.
func run(t *testing.T, hosts int, loadTime time.Duration, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			log:     standin.NewLog(standin.LogOptions{Latency: 5 * time.Millisecond}),
			engines: &engines{loadTime: loadTime, states: make(map[string]*state)},
		}
		for i := range hosts {
			f.hosts = append(f.hosts, &host{
				Engine: f.engines, fleet: f, id: fmt.Sprintf("10.0.0.%d:7100", i),
				metrics: tally.NewTestScope("", nil), held: make(chan func() error, 10),
			})
		}
		for _, h := range f.hosts {
			h.sees(func(string) bool { return true })
		}
		for _, h := range f.hosts {
			h.service = orders.New(orders.Params{
				Self: h.Self(), Log: f.log, Engine: h, Members: h, Holder: &h.holder,
				Metrics: h.metrics, Logger: logr.Discard(),
			})
			_ = h.service.Start(context.Background())
		}
		test(t, f)
		for _, h := range f.hosts {
			_ = h.service.Stop(context.Background())
		}
	})
}

// configure puts a document in force at all hosts.
func (f *fleet) configure(version int64, targets int, model, modelVersion string, checks bool) {
	for _, h := range f.hosts {
		h.configure(version, targets, model, modelVersion, checks)
	}
}

func (h *host) configure(version int64, targets int, model, modelVersion string, checks bool) {
	d := &config.Document{Models: []config.Model{{Name: model, Version: modelVersion, Adapter: "fine"}}}
	for i := range targets {
		d.Targets = append(d.Targets, config.Target{Name: name(i), Model: model, Role: "mixed", ChecksFencing: checks})
	}
	h.holder.StoreIfNewer(config.NewSnapshot(version, d))
}

func name(i int) string { return fmt.Sprintf("target-%d", i) }

// count sums a counter of all hosts.
func (f *fleet) count(counter string) (sum int64) {
	for _, h := range f.hosts {
		for _, c := range h.metrics.Snapshot().Counters() {
			if c.Name() == counter {
				sum += c.Value()
			}
		}
	}
	return sum
}

// showing returns how many targets show a state.
func (f *fleet) showing(want core.State, targets int) (n int) {
	for i := range targets {
		if f.engines.shown(name(i)) == want {
			n++
		}
	}
	return n
}

func TestTargetsReachWhatIsWanted(t *testing.T) {
	run(t, 3, 0, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const targets = 10
		f.configure(1, targets, "small", "1", true)
		time.Sleep(40 * time.Second)
		is.Equal(f.showing(core.State{Model: "small", Version: "1", Adapter: "fine", Role: "mixed"}, targets), targets)
		claims := f.log.Counts().Records
		is.Equal(claims, int64(targets*3)) // a claim, a load and its end for each
		f.engines.mu.Lock()
		f.engines.states[name(3)].shown = core.State{} // restarted with empty memory
		f.engines.mu.Unlock()
		time.Sleep(40 * time.Second)
		is.Equal(f.showing(core.State{Model: "small", Version: "1", Adapter: "fine", Role: "mixed"}, targets), targets)
		is.Equal(f.count("orders.order_refusals"), int64(0))
	})
}

// TestLateSteward holds an order of one steward back until another steward
// has brought the target to a newer version.
func TestLateSteward(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			run(t, 2, 0, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.configure(1, 1, "small", "1", checks)
				time.Sleep(time.Minute)
				late := f.holderOf(name(0))
				other := f.hosts[0]
				if other == late {
					other = f.hosts[1]
				}
				late.hold.Store(true)
				late.configure(2, 1, "small", "2", checks)
				release := <-late.held // the order for version 2 is on its way
				isOther := func(id string) bool { return id != late.id }
				other.sees(isOther)
				late.sees(isOther)
				other.configure(3, 1, "small", "3", checks)
				late.configure(3, 1, "small", "3", checks)
				time.Sleep(time.Minute)
				is.Equal(f.engines.shown(name(0)).Version, "3")
				err := release()
				is.Equal(err != nil, checks) // the target refuses it, or takes it
				time.Sleep(30 * time.Second)
				is.Equal(f.engines.shown(name(0)).Version, "3")
				is.True(f.leaseKept(name(0)))
			})
		})
	}
}

// holderOf returns the host whose claim is the latest in the stream.
func (f *fleet) holderOf(target string) *host {
	ledger := core.NewLedger()
	page, err := f.log.Read(context.Background(), core.Stream, 0, 0)
	if err != nil {
		panic(err)
	}
	for _, r := range page.Records {
		_ = ledger.Apply(r.Offset, r.Data, r.AppendedAt)
	}
	claim, _ := ledger.Claim(target)
	for _, h := range f.hosts {
		if h.id == claim.Holder.Host {
			return h
		}
	}
	return nil
}

// leaseKept says whether no order came sooner after its claim than the lease
// of an earlier steward allows.
func (f *fleet) leaseKept(target string) bool {
	page, _ := f.log.Read(context.Background(), core.Stream, 0, 0)
	for _, g := range f.engines.orders() {
		if g.target == target && g.at.Sub(page.Records[g.order.Epoch-1].AppendedAt) < core.Defaults().Lease {
			return false
		}
	}
	return true
}

func TestRacingChangesEndWithTheNewest(t *testing.T) {
	run(t, 3, 0, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const targets, changes = 5, 20
		for v := range changes {
			for _, h := range f.hosts {
				h.configure(int64(v+1), targets, "small", fmt.Sprint(v+1), false)
				time.Sleep(700 * time.Millisecond)
			}
		}
		time.Sleep(time.Minute)
		want := core.State{Model: "small", Version: fmt.Sprint(changes), Adapter: "fine", Role: "mixed"}
		is.Equal(f.showing(want, targets), targets)
	})
}

// TestFleetStartSharesTheWeightStore starts many targets that all need to load.
func TestFleetStartSharesTheWeightStore(t *testing.T) {
	run(t, 4, 10*time.Second, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const targets = 24
		f.configure(1, targets, "small", "", false)
		time.Sleep(15 * time.Minute)
		is.Equal(f.showing(core.State{Model: "small", Adapter: "fine", Role: "mixed"}, targets), targets)
		most := f.engines.loadingTargets()
		t.Logf("at most %d targets loaded at once", most)
		is.True(most > 1)
		is.True(most <= core.Defaults().MaxConcurrentLoads)
	})
}

// loadingTargets returns the most targets that loaded at once.
func (e *engines) loadingTargets() int {
	most := 0
	all := e.orders()
	for _, g := range all {
		targets := make(map[string]bool)
		for _, other := range all {
			age := g.at.Sub(other.at)
			if other.order.Kind == port.OrderLoad && age >= 0 && age < e.loadTime {
				targets[other.target] = true
			}
		}
		most = max(most, len(targets))
	}
	return most
}

func TestNoOrdersWhileTheLogIsDown(t *testing.T) {
	run(t, 2, 0, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.configure(1, 3, "small", "1", false)
		time.Sleep(time.Minute)
		before := len(f.engines.orders())
		f.log.Down(time.Hour)
		f.configure(2, 3, "small", "2", false)
		time.Sleep(30 * time.Minute)
		is.Equal(len(f.engines.orders()), before)
		time.Sleep(31 * time.Minute)
		is.Equal(f.showing(core.State{Model: "small", Version: "2", Adapter: "fine", Role: "mixed"}, 3), 3)
	})
}

// TestSplitViewsDoNotTakeTurns lets each of two hosts take itself for the only
// one. The target still gets there, with few claims.
func TestSplitViewsDoNotTakeTurns(t *testing.T) {
	run(t, 2, 0, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, h := range f.hosts {
			h.sees(func(id string) bool { return id == h.id })
		}
		f.configure(1, 1, "small", "1", false)
		time.Sleep(2 * time.Minute)
		is.Equal(f.showing(core.State{Model: "small", Version: "1", Adapter: "fine", Role: "mixed"}, 1), 1)
		is.True(f.log.Counts().Records <= 8)
	})
}
