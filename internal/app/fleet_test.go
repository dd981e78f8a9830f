package app

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"yuccausher/internal/configuration"
	"yuccausher/internal/entry"
	"yuccausher/internal/fault"
	"yuccausher/internal/gate"
	"yuccausher/internal/membership"
	"yuccausher/internal/owner"
	"yuccausher/internal/port"
	"yuccausher/internal/settings"
	"yuccausher/internal/standin"
	_ "yuccausher/internal/testutil"
	"yuccausher/internal/testutil/peernet"
)

// testFleet is a set of hosts with the real components on an in-memory network.
type testFleet struct {
	platform standin.Platform
	net      *peernet.Network
	hosts    []*testHost
	timeout  time.Duration
	starts   uint64
}

// testHost is one host address. A process that ended is replaced by a new one.
type testHost struct {
	fleet   *testFleet
	id      string
	process atomic.Pointer[process]
}

// process is one run of a host. It simulates the servers of a real host.
type process struct {
	fx      *fx.App
	drain   *drain
	owner   *owner.Service
	router  *entry.Router
	members *membership.Service
	config  *configuration.Service

	gate      *gate.Gate
	accepting atomic.Bool
	// pausedUntil is when a paused process resumes, in Unix nanoseconds.
	pausedUntil atomic.Int64
	callers     inFlight
	peers       inFlight
	done        chan struct{}

	mu    sync.Mutex
	lines []string
}

// inFlight counts requests.
type inFlight struct{ count atomic.Int64 }

func (c *inFlight) enter() func() {
	c.count.Add(1)
	return func() { c.count.Add(-1) }
}

func (c *inFlight) wait(ctx context.Context) error {
	for c.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// runFleet starts hosts in three data centres in a synctest bubble.
func runFleet(t *testing.T, hosts int, drainTimeout time.Duration, test func(t *testing.T, f *testFleet)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var listed []port.ListedHost
		for i := range hosts {
			listed = append(listed, port.ListedHost{ID: fmt.Sprintf("10.0.0.%d:7100", i), DataCentre: fmt.Sprintf("dc-%d", i%3)})
		}
		f := &testFleet{platform: standin.NewPlatform(listed), net: peernet.New(), timeout: drainTimeout}
		if err := f.platform.Publish(t.Context(), f.bases()); err != nil {
			t.Fatal(err)
		}
		for _, l := range listed {
			f.hosts = append(f.hosts, &testHost{fleet: f, id: l.ID})
		}
		for _, h := range f.hosts {
			h.start(t)
		}
		time.Sleep(10 * time.Second)
		defer f.stop()
		f.checkOwners(t)
		test(t, f)
	})
}

// stop kills all processes and waits for interrupted requests to end.
func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.process.Load().kill()
	}
	time.Sleep(time.Minute)
}

// checkOwners checks that each partition has one owner and each host owns at least
// one.
func (f *testFleet) checkOwners(t *testing.T) {
	owned := make(map[uint32]int)
	for _, h := range f.hosts {
		count := 0
		for _, p := range h.process.Load().owner.Partitions() {
			if p.State == "owned" {
				owned[p.Partition]++
				count++
			}
		}
		if count == 0 {
			t.Fatalf("host %s owns no partition", h.id)
		}
	}
	for p := range f.platform.Document(nil).Partitions {
		if owned[p] != 1 {
			t.Fatalf("partition %d has %d owners", p, owned[p])
		}
	}
}

func (f *testFleet) bases() standin.Bases {
	bases := make(standin.Bases)
	for _, name := range f.platform.Fleet.TargetNames() {
		bases[name] = "http://127.0.0.1:1"
	}
	return bases
}

// start starts a new process at the host's address.
func (h *testHost) start(t *testing.T) {
	f := h.fleet
	f.starts++
	p := &process{done: make(chan struct{}), gate: gate.New()}
	set := settings.NewServe(flag.NewFlagSet("serve", flag.ContinueOnError))
	set.DataCentre = "dc"
	_ = set.Resolve(nil)
	set.DrainTimeout = f.timeout
	o := Options{
		Settings: set,
		Logger:   funcr.New(p.log, funcr.Options{}),
		Gate:     p.gate,
		Platform: Platform{
			Log: f.platform.Log, Engine: f.platform.Fleet.EngineClient(),
			Service: f.platform.Fleet.ServiceClient(), HostList: f.platform.Fleet,
		},
	}
	self := port.Host{ID: h.id, DataCentre: "dc", Incarnation: f.starts, ClientAddress: h.id}
	p.fx = fx.New(
		fx.Supply(o, self),
		fx.Provide(func() tally.Scope { return tally.NoopScope }),
		fx.Provide(func() port.Peers { return p.gate.Peers(f.net.Peers(h.id)) }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		platformModule, membershipModule, configurationModule, schedulerModule,
		ownerModule, ordersModule, entryModule, drainModule,
		fx.Populate(&p.drain, &p.owner, &p.router, &p.members, &p.config),
	)
	p.drain.servers = drainFunc(p.drainRequests)
	p.drain.onFinished = func() { p.finish(f.net, h.id) }
	if err := p.fx.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.net.AddHost(h.id, peernet.Handlers{
		Gossip: p.members.Receive, GossipVia: p.members.Reach, Config: p.config.Current,
		Programs: &countingPrograms{Programs: p.owner, calls: &p.peers}, Log: f.platform.Log,
	})
	p.accepting.Store(true)
	h.process.Store(p)
}

func (p *process) log(prefix, args string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, prefix+" "+args)
}

func (p *process) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// drainRequests does what the servers of a real host do in a planned stop.
func (p *process) drainRequests(ctx context.Context) error {
	p.accepting.Store(false)
	if err := p.callers.wait(ctx); err != nil {
		return err
	}
	return p.peers.wait(ctx)
}

func (p *process) finish(net *peernet.Network, id string) {
	p.accepting.Store(false)
	net.RemoveHost(id)
	_ = p.fx.Stop(context.Background())
	close(p.done)
}

// kill interrupts all requests of a process and ends it without any announcement.
func (p *process) kill() {
	p.gate.Close()
	p.drain.abort()
	p.drain.onFinished()
	<-p.done
}

// pause holds up everything that a process sends, receives and is asked for d.
func (h *testHost) pause(d time.Duration) {
	p := h.process.Load()
	p.pausedUntil.Store(time.Now().Add(d).UnixNano())
	p.gate.Pause(d)
	h.fleet.net.Pause(h.id, d)
}

// awaitResume returns when the process is not paused.
func (p *process) awaitResume() { time.Sleep(time.Until(time.Unix(0, p.pausedUntil.Load()))) }

// ready is the readiness check of the load balancer.
func (p *process) ready() bool { return p.accepting.Load() && p.drain.Ready() == nil }

// countingPrograms counts the calls of other hosts that run in this process.
type countingPrograms struct {
	port.Programs
	calls *inFlight
}

// Call implements port.Programs.
func (c *countingPrograms) Call(ctx context.Context, call port.Call, sink port.Sink) (port.Answer, error) {
	defer c.calls.enter()()
	return c.Programs.Call(ctx, call, sink)
}

// Open implements port.Programs.
func (c *countingPrograms) Open(ctx context.Context, spec port.ProgramSpec) (port.ProgramView, error) {
	defer c.calls.enter()()
	return c.Programs.Open(ctx, spec)
}

// connectionRefused returns the fault of a connection that was not accepted.
func connectionRefused() error {
	return fault.New(fault.NotReady, fault.NotRun, "connection refused")
}

// runAt runs a caller's request at a process.
func runAt[T any](p *process, request func(context.Context, *entry.Router) (T, error)) (T, error) {
	var none T
	if !p.accepting.Load() {
		return none, connectionRefused()
	}
	p.awaitResume()
	type outcome struct {
		result T
		err    error
	}
	done := make(chan outcome, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leave := p.callers.enter()
	go func() {
		defer leave()
		result, err := request(ctx, p.router)
		p.awaitResume()
		done <- outcome{result, err}
	}()
	select {
	case o := <-done:
		return o.result, o.err
	case <-p.gate.Closed():
		return none, fault.New(fault.Internal, fault.Unknown, "connection broken")
	}
}

// drainFunc is a function that implements drainer.
type drainFunc func(context.Context) error

func (f drainFunc) drain(ctx context.Context) error { return f(ctx) }
