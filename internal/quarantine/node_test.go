package quarantine_test

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/follow"
	"yuccausher/internal/port"
	"yuccausher/internal/quarantine"
	"yuccausher/internal/standin/metastore"
)

const crashesTopic = "keyed.crashes"

// node is one host of a world.
type node struct {
	crashes *quarantine.Service
	shared  *follow.CrashLog
	name    string
	// disturbed is when the host was started, or when the store last began or
	// stopped to fail it.
	disturbed time.Time
}

// peers are the other hosts of a world.
type peers struct {
	world *world
	self  string
}

func (p peers) Hosts() []string {
	return slices.DeleteFunc(slices.Clone(p.world.names), func(name string) bool { return name == p.self })
}

func (p peers) Notify(_ context.Context, host string, marks []poison.Mark, isRelay bool) error {
	n := p.world.host(host)
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

// start starts a host that does not run.
func (w *world) start(name string) {
	if w.host(name) != nil {
		return
	}
	client := w.store.Client(name)
	n := &node{name: name, disturbed: time.Now()}
	n.crashes = quarantine.New(quarantine.Params{Probe: w.probe, Logger: logr.Discard(), Scope: tally.NoopScope})
	keyed := client.Keyed(crashesTopic)
	n.shared = follow.NewCrashLog(follow.CrashLogParams{Host: name, Stream: keyed, Put: keyed.PutAll, PropagationLimit: stableTime, Peers: peers{w, name}, Crashes: n.crashes, Logger: logr.Discard()})
	if err := n.shared.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	w.put(name, n)
}

// stopHost makes a planned stop.
func (w *world) stopHost(name string) {
	n := w.host(name)
	if n == nil {
		return
	}
	w.put(name, nil)
	_ = n.shared.Stop(context.Background())
	_ = n.crashes.Stop(context.Background())
}

// killHost ends a host that can't say anything any more.
func (w *world) killHost(name string) {
	w.store.SetFaults(name, metastore.Faults{Refuse: true})
	w.stopHost(name)
	w.store.SetFaults(name, w.faults[name])
}

// dropHistory makes the store forget all records but the newest of each key.
func (w *world) dropHistory() { w.store.Trim(port.Partition{Topic: crashesTopic}, 1<<40) }
