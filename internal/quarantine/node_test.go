package quarantine_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/follow"
	"yuccausher/internal/port"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/upstream"
)

const crashesTopic = "keyed.crashes"

// node is one host of a cluster.
type node struct {
	crashes *quarantine.Service
	log     *follow.CrashLog
	name    string
	// disturbedAt is when the host started, or when faults of the store for it last
	// changed.
	disturbedAt time.Time
	// isOld is set for a host of an earlier release.
	isOld bool

	mu sync.Mutex
	// views are the runs of the targets as the host knows them, by address.
	views map[string]upstream.Target
}

// known returns the run at an address as the host knows it.
func (n *node) known(s *targetSlot) upstream.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.views[s.run.Address]
}

// learn records that a target has started.
func (n *node) learn(t upstream.Target) {
	n.mu.Lock()
	n.views[t.Address] = t
	n.mu.Unlock()
	n.crashes.Started(t)
}

// peers implements follow.Peers for a host of a cluster.
type peers struct {
	cluster *cluster
	self    string
}

func (p peers) Hosts() []string {
	return slices.DeleteFunc(slices.Clone(p.cluster.names), func(name string) bool { return name == p.self })
}

func (p peers) Examine(ctx context.Context, host string, r poison.Report) (poison.Finding, error) {
	n := p.cluster.host(host)
	if n == nil || n.isOld {
		return poison.Finding{}, errors.New("host does not answer")
	}
	return n.crashes.Examine(ctx, p.self, r), nil
}

func (p peers) Notify(_ context.Context, host string, marks []poison.Mark, isRelay bool) error {
	n := p.cluster.host(host)
	switch {
	case n == nil:
		return errors.New("connection refused")
	case isRelay:
		n.crashes.Relay(p.self, marks)
	default:
		n.crashes.Receive(p.self, marks)
	}
	return nil
}

// start starts a host unless it is running.
func (c *cluster) start(name string) {
	if c.host(name) != nil {
		return
	}
	client := c.store.Client(name)
	n := &node{name: name, disturbedAt: time.Now(), views: make(map[string]upstream.Target), isOld: c.isOld[name]}
	n.crashes = quarantine.New(quarantine.Params{Probe: c.probeFrom(name), Peers: peers{c, name}, Logger: logr.Discard(), Scope: tally.NoopScope})
	keyed := client.Keyed(crashesTopic)
	n.log = follow.NewCrashLog(follow.CrashLogParams{Host: name, Stream: keyed, Put: keyed.PutAll, PropagationLimit: settleTime, Peers: peers{c, name}, Crashes: n.crashes, Logger: logr.Discard()})
	if err := n.log.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	for _, t := range c.upTargets() {
		n.learn(t)
	}
	c.setHost(name, n)
}

// stopHost stops a host gracefully.
func (c *cluster) stopHost(name string) {
	n := c.host(name)
	if n == nil {
		return
	}
	c.setHost(name, nil)
	_ = n.log.Stop(context.Background())
	_ = n.crashes.Stop(context.Background())
}

// killHost stops a host that can't reach the store any more, so that it can't write its
// last marks.
func (c *cluster) killHost(name string) {
	c.store.SetFaults(name, metastore.Faults{Refuse: true})
	c.stopHost(name)
	c.store.SetFaults(name, c.faults[name])
}

// compact drops all records of the store but the newest of each key.
func (c *cluster) compact() { c.store.Trim(port.Partition{Topic: crashesTopic}, 1<<40) }
