package quarantine_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"yuccausher/internal/quarantine"
	"yuccausher/internal/testutil"
	"yuccausher/internal/upstream"
)

// runsPerCross is how often each pair of a lost path and another disruption is run.
const runsPerCross = 1

// pathState is what a host's path to the targets lets through.
type pathState int

const (
	// opensNoConnections refuses new connections; open ones carry data.
	opensNoConnections pathState = iota + 1
	// carriesNothing drops everything.
	carriesNothing
	// reachesHalf reaches every second target only.
	reachesHalf
)

// path is the path of a host to the targets while it is not whole.
type path struct{ state pathState }

const (
	// connectTime is how long a host waits for a connection that nobody accepts.
	connectTime = 700 * time.Millisecond
	// examineTime is how long it takes to find out that no other target is reached.
	examineTime = 250 * time.Millisecond
	// examinedTargets is how many other targets a host tries to reach before it concludes that
	// one has crashed.
	examinedTargets = 3
)

func (c *cluster) pathOf(name string) pathState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.paths[name]; p != nil {
		return p.state
	}
	return 0
}

// setPaths changes the paths of hosts.
func (c *cluster) setPaths(p *path, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.paths[name] = p
	}
}

// isReached reports whether a target can be connected to from a host.
func (c *cluster) isReached(name string, i int) bool {
	return c.pathOf(name) != reachesHalf || i%2 == 0
}

// probeFrom returns the probe of a host. Its error is an *quarantine.InconclusiveError if the
// host reaches no other target either.
func (c *cluster) probeFrom(name string) func(context.Context, upstream.Target) error {
	return func(ctx context.Context, target upstream.Target) error {
		err := c.connect(name, target.Address)
		if errors.Is(err, context.DeadlineExceeded) {
			wait(ctx, connectTime)
		}
		if err == nil || c.reachesOthers(name, target.Address) {
			return err
		}
		wait(ctx, examineTime)
		return &quarantine.InconclusiveError{Cause: err}
	}
}

// wait waits until a time has passed or ctx has ended.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// reachesOthers reports whether a host reaches one of a few other targets.
func (c *cluster) reachesOthers(name, address string) bool {
	for range examinedTargets {
		c.mu.Lock()
		other := c.targets[c.sampling.IntN(len(c.targets))].run.Address
		c.mu.Unlock()
		if other != address && c.connect(name, other) == nil {
			return true
		}
	}
	return false
}

// connect returns nil if the target at an address accepts a connection from a host.
func (c *cluster) connect(name, address string) error {
	state := c.pathOf(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.targets, func(s *targetSlot) bool { return s.run.Address == address })
	switch {
	case state == opensNoConnections:
		return errors.Trace(syscall.ECONNREFUSED)
	case state == carriesNothing, state == reachesHalf && i%2 == 1:
		return context.DeadlineExceeded
	case i < 0 || time.Now().Before(c.targets[i].upAt):
		return errors.Trace(syscall.ECONNREFUSED)
	}
	return nil
}

// request sends the content to a host.
func (c *cluster) request(name string) { c.serve(name, false) }

// serve lets a host send the content to one target after the other, as a gateway does, or pass it
// on to another host.
func (c *cluster) serve(name string, isHandedOver bool) {
	var used []int
	for range maxAttempts {
		n := c.host(name)

		if n == nil || n.crashes.IsQuarantined(deadlyContent) {
			return
		}
		state := c.pathOf(name)
		isUnsettled := !n.isOld && n.crashes.IsUnsettled(deadlyContent)
		if state == carriesNothing || isUnsettled {
			if !isHandedOver {
				c.handOver(name)
			}
			return
		}
		time.Sleep(c.grantDelay)
		i := c.upTarget(n, used)
		if i < 0 || c.host(name) != n {
			return
		}
		used = append(used, i)
		c.end(n, i)
	}
}

// end sends the content from a host to a target, which ends.
func (c *cluster) end(n *node, i int) {
	if n.isOld && c.pathOf(n.name) != 0 {
		c.replace(c.targets[i], c.ending())
		return // such a host puts the result aside, so that nobody can count it
	}
	c.ends = append(c.ends, testutil.TargetEnd{At: time.Now(), IsDisturbed: n.isOld || !c.isSettled(n)})
	c.crashTarget(n, c.targets[i], deadly)
}

// handOver passes the content on to a host whose path is whole.
func (c *cluster) handOver(from string) {
	for _, i := range c.random.Perm(len(c.names)) {
		if name := c.names[i]; name != from && c.host(name) != nil && c.pathOf(name) == 0 {
			c.serve(name, true)
			return
		}
	}
}

// lose makes hosts lose their paths before the content comes, some as a target runs it for them.
func lose(state pathState, hosts func(names []string) []string) disruption {
	return func(names []string) []event {
		some := hosts(names)
		return []event{
			{-1, func(c *cluster) {
				c.setPaths(&path{state}, some...)
				for _, name := range some {
					if n, i := c.host(name), c.anyTarget(); n != nil && i >= 0 && state == carriesNothing {
						c.end(n, i)
					}
				}
			}},
			{12 * time.Second, func(c *cluster) { c.setPaths(nil, some...) }},
		}
	}
}

// anyTarget returns a target that is up, or -1.
func (c *cluster) anyTarget() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.random.Perm(len(c.targets)) {
		if !time.Now().Before(c.targets[i].upAt) {
			return i
		}
	}
	return -1
}

func allOf(names []string) []string { return names }

func mostOf(names []string) []string { return names[1:] }

func thirdOf(names []string) []string { return names[:(len(names)+2)/3] }

// allHostsFall kills all hosts at once.
func allHostsFall(names []string) []event {
	const at, pause = 5 * time.Second, 300 * time.Millisecond
	return []event{
		{at, func(c *cluster) {
			for _, name := range names {
				c.killHost(name)
			}
		}},
		{at + pause, func(c *cluster) {
			for _, name := range names {
				c.start(name)
			}
		}},
	}
}

// viewsAreLate lets hosts know of a target's next run only once it has registered.
func viewsAreLate([]string) []event {
	return []event{{-1, func(c *cluster) { c.hasLateViews = true }}}
}

// ratesAreLimited lets requests wait before they are sent.
func ratesAreLimited([]string) []event {
	return []event{{-1, func(c *cluster) { c.grantDelay = 100 * time.Millisecond }}}
}

// hostsAreOfTwoReleases makes every second host one of an earlier release.
func hostsAreOfTwoReleases(names []string) []event {
	return []event{{-1, func(c *cluster) {
		for i, name := range names {
			if i%2 == 1 {
				c.isOld[name] = true
				c.stopHost(name)
				c.start(name)
			}
		}
	}}}
}

// targetsAreReplaced replaces one target after the other, as a release does.
func targetsAreReplaced([]string) []event {
	var events []event
	for i := range 24 {
		events = append(events, event{time.Duration(i) * 500 * time.Millisecond, func(c *cluster) { c.replace(c.targets[i], endLoudly) }})
	}
	return events
}

// lostPaths are the ways in which hosts lose their paths.
var lostPaths = []struct {
	name  string
	state pathState
	hosts func(names []string) []string
}{
	{"some open no connections", opensNoConnections, thirdOf},
	{"most open no connections", opensNoConnections, mostOf},
	{"all open no connections", opensNoConnections, allOf},
	{"some are cut off", carriesNothing, thirdOf},
	{"most are cut off", carriesNothing, mostOf},
	{"some reach half", reachesHalf, thirdOf},
	{"most reach half", reachesHalf, mostOf},
}

// The limit holds while hosts have lost their paths to the targets, alone and beside every other
// disruption.
func TestCrashesAreKnownAtHostsWithoutAPath(t *testing.T) {
	others := append(allDisruptions[:len(allDisruptions):len(allDisruptions)], []struct {
		name string
		do   disruption
	}{
		{"all hosts fall", allHostsFall},
		{"views are late", viewsAreLate},
		{"rates are limited", ratesAreLimited},
		{"two releases of hosts", hostsAreOfTwoReleases},
		{"targets are replaced", targetsAreReplaced},
	}...)
	for _, p := range lostPaths {
		t.Run(p.name+", few targets", func(t *testing.T) {
			runScenariosAt(t, fewTargets, runsPerPair, endBy(endLoudly), lose(p.state, p.hosts))
		})
		t.Run(p.name, func(t *testing.T) { runScenarios(t, runsPerPair, endBy(endLoudly), lose(p.state, p.hosts)) })
		for _, e := range endings[1:] {
			t.Run(p.name+" and "+e.name, func(t *testing.T) { runScenarios(t, runsPerEnding, endBy(e), lose(p.state, p.hosts)) })
		}
		for _, d := range others {
			t.Run(p.name+" and "+d.name, func(t *testing.T) {
				runScenarios(t, runsPerCross, endBy(endLoudly), lose(p.state, p.hosts), d.do)
			})
		}
	}
}

// fewTargets is the size of a small service.
const fewTargets = 3

// Content that was under way at targets that some hosts have lost their path to is not quarantined.
func TestInnocentContentIsNotHeldWherePathsAreLost(t *testing.T) {
	const innocent = uint64(8)
	for _, p := range lostPaths {
		t.Run(p.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 10, usualTargets, 1)
				defer c.stop()
				c.setPaths(&path{p.state}, p.hosts(c.names)...)
				for i, name := range c.names {
					if c.pathOf(name) != 0 {
						c.host(name).crashes.RecordInterruption(innocent, c.host(name).known(c.targets[2*i+1]))
					}
				}
				time.Sleep(2 * settleTime)
				for _, name := range c.names {
					is.True(!c.host(name).crashes.IsQuarantined(func() uint64 { return innocent }))
				}
			})
		})
	}
}

// A target that ends and starts again under its ID may run the content again before hosts know of the
// next run.
func TestSecondEndOfATargetIsCounted(t *testing.T) {
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) { runScenariosAt(t, fewTargets, runsPerPair, endBy(e), viewsAreLate) })
	}
}
