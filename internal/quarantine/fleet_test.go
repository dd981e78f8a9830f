package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/testutil"
	"yuccausher/internal/upstream"
)

const (
	deadly = uint64(7)
	// settleTime is how long a host and the store must have been undisturbed for the
	// users' limit on repeats to apply, and how long after the third crash it begins to.
	settleTime = 3 * time.Second
	// maxAttempts is how many targets one request is sent to while they crash.
	maxAttempts = 3
	// runsPerCase is how often each case is run, each time with other hosts that
	// receive the content, and runsPerPair how often each pair of disruptions is run.
	runsPerCase = 20
	runsPerPair = 6
	// restartTime is how long a crashed target takes to restart.
	restartTime = 2 * time.Second
)

// cluster is a number of hosts that share one store, with targets that crash when they
// run the deadly content.
type cluster struct {
	t      *testing.T
	store  *metastore.Store
	names  []string
	random *rand.Rand

	// sampling is the source of the targets that probes try. It is guarded by mu.
	sampling *rand.Rand

	// mu guards the targets, which the hosts probe, and the hosts, which call each
	// other.
	mu      sync.Mutex
	targets []*targetSlot
	hosts   map[string]*node
	// disturbedAt is when faults of the store for all hosts last changed.
	disturbedAt time.Time
	// faults are the current faults of the store by host.
	faults     map[string]metastore.Faults
	ends       []testutil.TargetEnd
	crashCount int
	// paths are the hosts' paths to the targets, whole unless they are listed.
	paths map[string]*path
	// isOld contains the hosts of an earlier release.
	isOld map[string]bool
	// hasLateViews is set if hosts know of a target's next run only once it has registered.
	hasLateViews bool
	// grantDelay is how long a request waits between the check of its content and its
	// dispatch, as under a rate limit.
	grantDelay time.Duration
	// how is how targets end that run the deadly content; nil means endLoudly.
	how *ending
}

// targetSlot is one address at which targets run: a crashed target is followed by
// another one.
type targetSlot struct {
	run  upstream.Target
	upAt time.Time
}

func newCluster(t *testing.T, hosts, targets int, seed uint64) *cluster {
	c := &cluster{t: t, store: metastore.New(), hosts: make(map[string]*node), paths: make(map[string]*path), isOld: make(map[string]bool), faults: make(map[string]metastore.Faults), random: rand.New(rand.NewPCG(seed, 0)), sampling: rand.New(rand.NewPCG(seed, 1))}
	c.store.Timeout = time.Second
	for n := range targets {
		c.targets = append(c.targets, &targetSlot{run: upstream.Target{ID: fmt.Sprintf("t%d.0", n), Address: fmt.Sprintf("10.0.0.%d:80", n)}})
	}
	for n := range hosts {
		name := fmt.Sprintf("h%d", n)
		c.names = append(c.names, name)
		c.start(name)
	}
	time.Sleep(3 * settleTime)
	return c
}

// host returns a host, or nil if it is not running.
func (c *cluster) host(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

func (c *cluster) setHost(name string, n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = n
}

func (c *cluster) stop() {
	for _, name := range c.names {
		c.stopHost(name)
	}
}

// ending returns how targets end.
func (c *cluster) ending() *ending {
	if c.how != nil {
		return c.how
	}
	return endLoudly
}

// crashTarget crashes a target while it runs contents for a host.
func (c *cluster) crashTarget(n *node, s *targetSlot, contents ...uint64) {
	end := c.ending()
	known := n.known(s)
	old := c.replace(s, end)
	if c.hasLateViews {
		old = known
	}
	for _, f := range contents {
		end.record(n, f, old)
	}
}

// replace ends the run of a target, which is followed by another one, and returns it.
func (c *cluster) replace(s *targetSlot, end *ending) upstream.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := s.run
	c.crashCount++
	s.upAt = time.Now().Add(end.restartTime)
	s.run = upstream.Target{ID: old.ID, Address: old.Address, StartedAt: s.upAt.UnixMilli()}
	if !end.keepsID {
		s.run.ID = fmt.Sprintf("%s.%d", old.Address, c.crashCount)
	}
	return old
}

// upTarget returns a random target that is up and that a host may send a request to, or -1 if
// there is none, without some. A target refuses requests for another ID than its own.
func (c *cluster) upTarget(n *node, used []int) int {
	for range 4 * len(c.targets) {
		i := c.anyTarget()
		if i < 0 {
			return -1
		}
		s := c.targets[i]
		if !slices.Contains(used, i) && c.isReached(n.name, i) && (!c.hasLateViews || n.known(s).ID == s.run.ID) {
			return i
		}
	}
	return -1
}

// isSettled reports whether neither the host nor the store has been disturbed within
// settleTime.
func (c *cluster) isSettled(n *node) bool {
	return c.isStoreReachable(n.name) && c.isStoreReachable(metastore.EveryHost) &&
		time.Since(n.disturbedAt) >= settleTime && time.Since(c.disturbedAt) >= settleTime
}

func (c *cluster) isStoreReachable(name string) bool {
	return !c.faults[name].Refuse && !c.faults[name].Silent
}

// fail sets the faults of the store for hosts, or for every host.
func (c *cluster) fail(f metastore.Faults, names ...string) {
	for _, name := range names {
		c.store.SetFaults(name, f)
		c.faults[name] = f
		c.disturb(name)
	}
}

func (c *cluster) disturb(name string) {
	if name == metastore.EveryHost {
		c.disturbedAt = time.Now()
	}
	if n := c.host(name); n != nil {
		n.disturbedAt = time.Now()
	}
}

// event is an action at a time after the first request.
type event struct {
	at time.Duration
	do func(c *cluster)
}

// disruption returns the disturbances of a scenario, given the names of the hosts.
type disruption func(names []string) []event

// rolling does something to one host after the other, a second apart, and starts each
// host again after a pause.
func rolling(do func(c *cluster, name string)) disruption {
	return func(names []string) []event {
		const pause = 400 * time.Millisecond
		var events []event
		for i, name := range names {
			at := time.Duration(2+i) * time.Second
			events = append(events,
				event{at, func(c *cluster) { do(c, name) }},
				event{at + pause, func(c *cluster) { c.start(name) }})
		}
		return events
	}
}

var (
	hostsRestartInTurn   = rolling((*cluster).stopHost)
	hostsAreKilledInTurn = rolling((*cluster).killHost)
)

// storeFailsForSome makes the store fail for a third of the hosts.
func storeFailsForSome(f metastore.Faults) disruption {
	return func(names []string) []event {
		some := names[:(len(names)+2)/3]
		return []event{
			{0, func(c *cluster) { c.fail(f, some...) }},
			{9 * time.Second, func(c *cluster) { c.fail(metastore.Faults{}, some...) }},
		}
	}
}

// storeFailsForAll makes the store fail for all hosts.
func storeFailsForAll(f metastore.Faults) disruption {
	return func([]string) []event {
		return []event{
			{0, func(c *cluster) { c.fail(f, metastore.EveryHost) }},
			{5 * time.Second, func(c *cluster) { c.fail(metastore.Faults{}, metastore.EveryHost) }},
		}
	}
}

// storeIsCompacted makes the store drop all records but the newest of each key.
func storeIsCompacted([]string) []event {
	return []event{{time.Second, (*cluster).compact}, {6 * time.Second, (*cluster).compact}}
}

// enginesAreFull crashes targets while they run many other contents.
func enginesAreFull(names []string) []event {
	const running = 16
	var events []event
	for i := range 30 {
		events = append(events, event{time.Duration(i) * 200 * time.Millisecond, func(c *cluster) {
			at, n := c.anyTarget(), c.host(names[i%len(names)])
			if at < 0 || n == nil {
				return
			}
			contents := make([]uint64, running)
			for k := range contents {
				contents[k] = c.random.Uint64()
			}
			c.crashTarget(n, c.targets[at], contents...)
		}})
	}
	return events
}

func undisturbed([]string) []event { return nil }

// pattern is the times at which hosts receive the content.
type pattern struct {
	name     string
	requests func(c *cluster) []event
}

// scenarioTime is how long hosts receive the content.
const scenarioTime = 25 * time.Second

// steady sends the content to a random host at regular intervals.
func steady(every time.Duration) pattern {
	return pattern{fmt.Sprint("every ", every), func(c *cluster) []event {
		var events []event
		for at := time.Duration(0); at < scenarioTime; at += every {
			events = append(events, request(at, c.names[c.random.IntN(len(c.names))]))
		}
		return events
	}}
}

// bursts send the content to one host, and to all hosts when the limit begins to apply
// and several times later.
var bursts = pattern{"in herds", func(c *cluster) []event {
	events := []event{request(0, c.names[c.random.IntN(len(c.names))])}
	for _, at := range []time.Duration{settleTime, 8 * time.Second, 16 * time.Second, scenarioTime} {
		for i, n := range c.random.Perm(len(c.names)) {
			events = append(events, request(at+time.Duration(i+1)*20*time.Millisecond, c.names[n]))
		}
	}
	return events
}}

func request(at time.Duration, name string) event {
	return event{at, func(c *cluster) { c.request(name) }}
}

var patterns = []pattern{steady(200 * time.Millisecond), steady(500 * time.Millisecond), steady(1500 * time.Millisecond), bursts}

// runScenarios runs all patterns with disruptions and checks the limit on repeats.
func runScenarios(t *testing.T, seeds uint64, disruptions ...disruption) {
	t.Helper()
	runScenariosAt(t, usualTargets, seeds, disruptions...)
}

// usualTargets is how many targets a cluster has as a rule.
const usualTargets = 24

// runScenariosAt is runScenarios for a number of targets.
func runScenariosAt(t *testing.T, targets int, seeds uint64, disruptions ...disruption) {
	t.Helper()
	t.Parallel()
	for _, p := range patterns {
		for seed := range seeds {
			synctest.Test(t, func(t *testing.T) { runScenario(t, p, targets, seed, disruptions) })
		}
	}
}

// allDisruptions are played in pairs and with each ending of targets.
var allDisruptions = []struct {
	name string
	do   disruption
}{
	{"planned stops", hostsRestartInTurn},
	{"kills", hostsAreKilledInTurn},
	{"away for some", storeFailsForSome(metastore.Faults{Silent: true})},
	{"away for all", storeFailsForAll(metastore.Faults{Refuse: true})},
	{"answers lost", storeFailsForSome(metastore.Faults{LoseAnswers: 3})},
	{"compacted", storeIsCompacted},
	{"full engines", enginesAreFull},
}

func runScenario(t *testing.T, p pattern, targets int, seed uint64, disruptions []disruption) {
	t.Helper()
	c := newCluster(t, 10, targets, seed)
	defer c.stop()
	events := p.requests(c)
	for _, d := range disruptions {
		events = append(events, d(c.names)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	begun := time.Now()
	for _, e := range events {
		time.Sleep(time.Until(begun.Add(e.at)))
		e.do(c)
	}
	if err := testutil.CheckRepeats(c.ends, settleTime); err != nil {
		t.Errorf("%s, seed %d: %v", p.name, seed, err)
	}
}

// Hosts that did not receive the content have its marks before the limit applies to
// them.
func TestCrashesAreKnownInTime(t *testing.T) { runScenarios(t, runsPerCase, undisturbed) }

// Hosts that restart have the marks of the content, even after all hosts have
// restarted.
func TestCrashesAreKnownAfterAllHostsRestarted(t *testing.T) {
	t.Run("as planned", func(t *testing.T) { runScenarios(t, runsPerCase, hostsRestartInTurn) })
	t.Run("killed", func(t *testing.T) { runScenarios(t, runsPerCase, hostsAreKilledInTurn) })
}

// Crashes that a host sees while it can't reach the store count at the other hosts.
func TestCrashesAtHostsWithoutTheStoreAreKnown(t *testing.T) {
	t.Run("refusing some", func(t *testing.T) { runScenarios(t, runsPerCase, storeFailsForSome(metastore.Faults{Refuse: true})) })
	t.Run("silent to some", func(t *testing.T) { runScenarios(t, runsPerCase, storeFailsForSome(metastore.Faults{Silent: true})) })
	t.Run("losing answers", func(t *testing.T) { runScenarios(t, runsPerCase, storeFailsForSome(metastore.Faults{LoseAnswers: 3})) })
	t.Run("silent to all", func(t *testing.T) { runScenarios(t, runsPerCase, storeFailsForAll(metastore.Faults{Silent: true})) })
}

// The marks of a crash of a full engine do not displace other marks.
func TestCrashesOnFullEnginesDisplaceNoMarks(t *testing.T) {
	runScenarios(t, runsPerCase, enginesAreFull)
}

func TestCrashesAreKnownUnderDisruptionsInPairs(t *testing.T) {
	for i, first := range allDisruptions {
		for _, second := range allDisruptions[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) { runScenarios(t, runsPerPair, first.do, second.do) })
		}
	}
}
