package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/sched/basic"
	"yuccausher/internal/standin"
	_ "yuccausher/internal/testutil"
)

const (
	testPartitions = 4
	testStream     = "state-0"
	appendTime     = 10 * time.Millisecond
)

// cluster is several owners over one platform in memory.
type cluster struct {
	t        *testing.T
	is       *is.I
	log      *standin.Log
	fleet    *standin.Fleet
	runs     *standin.Runs
	holder   *config.Holder
	settings Settings
	nodes    []*node
}

// node is one owner with switches between it and the platform.
type node struct {
	*Service
	members *members
	scope   tally.TestScope
	gate    *gate
	results *results
	dead    bool
}

// results keeps what a scheduler is told.
type results struct {
	port.Scheduler
	mu  sync.Mutex
	all []port.Result
}

func (r *results) list() []port.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

type toldGrant struct {
	port.Grant
	results *results
}

func (r *results) Acquire(ctx context.Context, work port.Work) (port.Grant, error) {
	g, err := r.Scheduler.Acquire(ctx, work)
	return toldGrant{g, r}, err
}

func (g toldGrant) Done(r port.Result) {
	g.results.mu.Lock()
	g.results.all = append(g.results.all, r)
	g.results.mu.Unlock()
	g.Grant.Done(r)
}

func newCluster(t *testing.T, nodes int, options standin.LogOptions, change func(*config.Document)) *cluster {
	runs := standin.NewRuns()
	engines := []*standin.Engine{
		newEngine("e1", "m", time.Millisecond),
		newEngine("e2", "m", time.Millisecond),
		newEngine("slow", "slow", time.Second),
	}
	services := []*standin.Service{
		standin.NewService(standin.ServiceOptions{Name: "s1", Latency: 20 * time.Millisecond, Runs: runs}),
		standin.NewService(standin.ServiceOptions{Name: "late", Latency: 3 * time.Second, Runs: runs}),
		standin.NewService(standin.ServiceOptions{Name: "mute", Latency: 20 * time.Millisecond, CannotSay: true, Runs: runs}),
	}
	if options.Latency == 0 {
		options.Latency = appendTime
	}
	c := &cluster{
		t:      t,
		is:     is.New(t),
		log:    standin.NewLog(options),
		fleet:  standin.NewFleet(engines, services, nil, 0),
		runs:   runs,
		holder: &config.Holder{},
	}
	c.settings = Settings{Retention: options.Retention}
	d := document()
	if change != nil {
		change(d)
	}
	c.holder.StoreIfNewer(config.NewSnapshot(1, d))
	for i := range nodes {
		c.add(fmt.Sprintf("h%d", i), 1)
	}
	for _, n := range c.nodes {
		c.is.NoErr(n.Start(context.Background()))
	}
	t.Cleanup(func() {})
	return c
}

func newEngine(name, model string, perToken time.Duration) *standin.Engine {
	return standin.NewEngine(standin.EngineOptions{
		Name:           name,
		Model:          model,
		KVTokens:       1 << 20,
		PerOutputToken: perToken,
		OutputTokens: func(c port.ModelCall) int64 {
			if model == "slow" {
				return c.MaxTokens
			}
			return min(c.MaxTokens, 20)
		},
	})
}

func document() *config.Document {
	return &config.Document{
		Format:        config.Format,
		Partitions:    testPartitions,
		Streams:       1,
		Organisations: []config.Organisation{{Name: "f", BudgetTokens: 1 << 30}},
		Agents:        []config.Agent{{Name: "a", Organisation: "f"}},
		Models:        []config.Model{{Name: "m", ContextTokens: 1 << 20}, {Name: "slow", ContextTokens: 1 << 20}},
		Targets: []config.Target{
			{Name: "e1", Model: "m"},
			{Name: "e2", Model: "m"},
			{Name: "slow", Model: "slow"},
			{Name: "s1", Services: []string{"post", "read"}},
			{Name: "mute", Services: []string{"mute"}},
			{Name: "late", Services: []string{"late"}},
		},
		Services: []config.Service{{Name: "post"}, {Name: "mute"}, {Name: "late"}, {Name: "read", Idempotent: true}},
	}
}

// add makes a node and tells all nodes of it.
func (c *cluster) add(id string, incarnation uint64) *node {
	n := &node{gate: newGate(c), members: newMembers(id, incarnation), scope: tally.NewTestScope("", nil)}
	for _, other := range c.nodes {
		other.members.set(id, incarnation, port.MemberAlive)
		if !other.dead {
			n.members.set(other.members.self.ID, other.members.self.Incarnation, port.MemberAlive)
		}
	}
	n.results = &results{Scheduler: basic.New(c.holder)}
	n.Service = New(Params{
		Log:       n.gate,
		Engine:    n.gate,
		Service:   n.gate,
		Members:   n.members,
		Scheduler: n.results,
		Config:    c.holder,
		Metrics:   n.scope,
		Logger:    logr.Discard(),
		Settings:  c.settings,
	})
	c.nodes = append(c.nodes, n)
	return n
}

// stop ends all nodes; tests defer it inside the bubble.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.gate.open()
		if !n.dead {
			_ = n.Stop(context.Background())
		}
	}
	synctest.Wait()
}

// kill ends a node at once. The others notice after a second.
func (c *cluster) kill(n *node) {
	n.dead = true
	n.gate.sever()
	_ = n.Stop(context.Background())
	go func() {
		time.Sleep(time.Second)
		c.bury(n)
	}()
}

// bury makes all others take a node for dead.
func (c *cluster) bury(n *node) {
	for _, other := range c.nodes {
		if other != n {
			other.members.set(n.members.self.ID, n.members.self.Incarnation, port.MemberDead)
		}
	}
}

// owner returns the node that serves a program.
func (c *cluster) owner(id string) *node {
	for _, n := range c.nodes {
		if n.dead {
			continue
		}
		if _, err := n.Program(context.Background(), id); err == nil {
			return n
		}
	}
	c.t.Fatal("no owner serves the program")
	return nil
}

// anywhere calls each live node until one owns the program.
func anywhere[T any](c *cluster, call func(*node) (T, error)) (T, error) {
	var result T
	var err error
	for range 200 {
		for _, n := range c.nodes {
			if n.dead {
				continue
			}
			result, err = call(n)
			if _, other := err.(*port.NotOwnerError); !other {
				return result, err
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result, err
}

func (c *cluster) open(request string, budget int64) port.ProgramView {
	c.t.Helper()
	v, err := c.tryOpen(spec(request, budget))
	c.is.NoErr(err)
	return v
}

func spec(request string, budget int64) port.ProgramSpec {
	return port.ProgramSpec{Organisation: "f", Agent: "a", BudgetTokens: budget, RequestID: request}
}

func (c *cluster) tryOpen(s port.ProgramSpec) (port.ProgramView, error) {
	return anywhere(c, func(n *node) (port.ProgramView, error) { return n.Open(context.Background(), s) })
}

func (c *cluster) call(call port.Call) (port.Answer, error) {
	return anywhere(c, func(n *node) (port.Answer, error) { return n.Call(context.Background(), call, nil) })
}

func (c *cluster) view(id string) port.ProgramView {
	c.t.Helper()
	v, err := anywhere(c, func(n *node) (port.ProgramView, error) { return n.Program(context.Background(), id) })
	c.is.NoErr(err)
	return v
}

func (c *cluster) history(id string) []port.Turn {
	c.t.Helper()
	h, err := anywhere(c, func(n *node) ([]port.Turn, error) { return n.History(context.Background(), id) })
	c.is.NoErr(err)
	return h
}

func modelCall(id string, seq int64, request string) port.Call {
	return port.Call{
		ProgramID: id, Seq: seq, RequestID: request, Kind: port.KindModel,
		Model: "m", MaxTokens: 50, Input: json.RawMessage(`"go on ` + request + `"`),
	}
}

func posting(id string, seq int64, request string) port.Call {
	return port.Call{
		ProgramID: id, Seq: seq, RequestID: request, Kind: port.KindService,
		Service: "post", Operation: "pay", Input: json.RawMessage(`{"to":"` + request + `"}`),
	}
}

// members is a membership view that tests set by hand.
type members struct {
	mu      sync.Mutex
	self    port.Host
	table   map[string]port.Member
	changed chan struct{}
}

func newMembers(id string, incarnation uint64) *members {
	m := &members{
		self:    port.Host{ID: id, Incarnation: incarnation},
		table:   make(map[string]port.Member),
		changed: make(chan struct{}),
	}
	m.set(id, incarnation, port.MemberAlive)
	return m
}

func (m *members) set(id string, incarnation uint64, state port.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table[id].Incarnation > incarnation {
		return // news of an earlier process
	}
	m.table[id] = port.Member{Host: port.Host{ID: id, Incarnation: incarnation}, State: state}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *members) Self() port.Host { return m.self }

func (m *members) Table() []port.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var table []port.Member
	for _, row := range m.table {
		table = append(table, row)
	}
	return table
}

func (m *members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
