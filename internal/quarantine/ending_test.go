package quarantine_test

import (
	"context"
	"testing"
	"time"

	"yuccausher/internal/upstream"
)

// ending is how targets end that run the deadly content, and what the host that sent it
// notices.
type ending struct {
	name string
	// restartTime is how long the address is without a target.
	restartTime time.Duration
	// keepsID is set if the next run has the same ID.
	keepsID bool
	record  func(n *node, content uint64, target upstream.Target)
}

// runsPerEnding is how often each pair of an ending and a disruption is run.
const runsPerEnding = 2

// quickRestart is shorter than the time until a host probes a target.
const quickRestart = 0

func recordInterruption(n *node, content uint64, target upstream.Target) {
	n.crashes.RecordInterruption(content, target)
}

func recordUnframedAnswer(n *node, content uint64, target upstream.Target) {
	n.crashes.ProbeAfterUnframedAnswer(context.Background(), content, target)
}

var (
	endLoudly = &ending{name: "loud", restartTime: restartTime, record: recordInterruption}
	endings   = []*ending{
		endLoudly,
		{name: "unframed", restartTime: restartTime, record: recordUnframedAnswer},
		{name: "unframed and back at once", restartTime: quickRestart, record: recordUnframedAnswer},
		{name: "back at once with the same ID", restartTime: quickRestart, keepsID: true, record: recordInterruption},
		{name: "unframed and back with the same ID", restartTime: restartTime, keepsID: true, record: recordUnframedAnswer},
		{name: "abandoned", restartTime: restartTime, record: func(n *node, content uint64, target upstream.Target) {
			n.crashes.RecordAbandoned(content, target)
		}},
	}
)

// registrationTime is how long it takes until hosts have the record of a target that has
// started.
const registrationTime = 500 * time.Millisecond

// endBy lets targets end in a way, and passes the records of the next runs to the hosts.
func endBy(e *ending) disruption {
	return func([]string) []event {
		events := []event{{-1, func(c *cluster) { c.how = e }}}
		for at := registrationTime; at < scenarioTime; at += registrationTime {
			events = append(events, event{at, (*cluster).register})
		}
		return events
	}
}

// upTargets returns the runs of all targets that are up.
func (c *cluster) upTargets() []upstream.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []upstream.Target
	for _, s := range c.targets {
		if !time.Now().Before(s.upAt) {
			up = append(up, s.run)
		}
	}
	return up
}

// register passes the records of all targets that are up to the hosts.
func (c *cluster) register() {
	up := c.upTargets()
	for _, name := range c.names {
		n := c.host(name)
		if n == nil {
			continue
		}
		for _, run := range up {
			n.learn(run)
		}
	}
}

// racksFail ends several targets at once, at which hosts run other contents.
func racksFail(names []string) []event {
	const rack = 5
	var events []event
	for _, at := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
		events = append(events, event{at, func(c *cluster) {
			for i := range rack {
				if at, n := c.anyTarget(), c.host(names[i%len(names)]); at >= 0 && n != nil {
					c.crashTarget(n, c.targets[at], c.random.Uint64())
				}
			}
		}})
	}
	return events
}

// The limit holds however the targets end that run the content.
func TestCrashesAreKnownHoweverTargetsEnd(t *testing.T) {
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) { runScenarios(t, runsPerPair, endBy(e)) })
		t.Run(e.name+" and racks", func(t *testing.T) { runScenarios(t, runsPerEnding, endBy(e), racksFail) })
		for _, d := range allDisruptions {
			t.Run(e.name+" and "+d.name, func(t *testing.T) { runScenarios(t, runsPerEnding, endBy(e), d.do) })
		}
	}
}
