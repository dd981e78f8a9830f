package quarantine_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/upstream"
)

const (
	deadly = uint64(7)
	// stableTime is how long a host and the store must have been undisturbed for
	// the users' bound to hold, and how long after the third end it begins to hold.
	stableTime = 3 * time.Second
	// maxRepeats is how often the content may then still reach a target.
	maxRepeats = 3
	// maxAttempt is how many targets one request reaches while these end.
	maxAttempt = 3
	// plays is how often each case is played, each time with other hosts in the path of
	// the content, and pairPlays how often each pair is.
	plays     = 20
	pairPlays = 6
	// restartTime is how long a target that has ended is away.
	restartTime = 2 * time.Second
)

// world is a fleet of hosts over one store, before targets that end when they run
// the content.
type world struct {
	t      *testing.T
	store  *metastore.Store
	names  []string
	random *rand.Rand

	// mu guards the targets, for which hosts look, and the hosts, which talk to each
	// other.
	mu      sync.Mutex
	targets []*server
	hosts   map[string]*node
	// disturbed is when the store last failed all hosts, or stopped to.
	disturbed time.Time
	// faults are what the store does wrong for hosts now.
	faults map[string]metastore.Faults
	runs   []run
	ends   int
}

// server is one place for targets: each end is followed by another target.
type server struct {
	run  upstream.Target
	upAt time.Time
}

type run struct {
	at        time.Time
	host      string
	isInTouch bool
}

func newWorld(t *testing.T, hosts, targets int, seed uint64) *world {
	w := &world{t: t, store: metastore.New(), hosts: make(map[string]*node), faults: make(map[string]metastore.Faults), random: rand.New(rand.NewPCG(seed, 0))}
	w.store.Timeout = time.Second
	for n := range targets {
		w.targets = append(w.targets, &server{run: upstream.Target{ID: fmt.Sprintf("t%d.0", n), Address: fmt.Sprintf("10.0.0.%d:80", n)}})
	}
	for n := range hosts {
		name := fmt.Sprintf("h%d", n)
		w.names = append(w.names, name)
		w.start(name)
	}
	time.Sleep(3 * stableTime)
	return w
}

// host returns a host; nil if it does not run.
func (w *world) host(name string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name]
}

func (w *world) put(name string, n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name] = n
}

func (w *world) stop() {
	for _, name := range w.names {
		w.stopHost(name)
	}
}

// probe says whether a target takes connections.
func (w *world) probe(_ context.Context, target upstream.Target) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.targets {
		if s.run.ID == target.ID && !time.Now().Before(s.upAt) {
			return nil
		}
	}
	return errors.New("connection refused")
}

// end ends a target as it runs contents, at a host.
func (w *world) end(n *node, s *server, contents ...uint64) {
	w.mu.Lock()
	old := s.run
	w.ends++
	s.run = upstream.Target{ID: fmt.Sprintf("%s.%d", old.Address, w.ends), Address: old.Address, StartedAt: int64(w.ends)}
	s.upAt = time.Now().Add(restartTime)
	w.mu.Unlock()
	for _, f := range contents {
		n.crashes.RecordInterruption(f, old)
	}
}

// free returns a target that is up; nil if none is.
func (w *world) free() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.random.Perm(len(w.targets)) {
		if s := w.targets[i]; !time.Now().Before(s.upAt) {
			return s
		}
	}
	return nil
}

// request brings the content to a host, which sends it on while targets end.
func (w *world) request(name string) {
	n := w.host(name)
	for range maxAttempt {
		if n == nil || n.crashes.IsQuarantined(func() uint64 { return deadly }) {
			return
		}
		s := w.free()
		if s == nil {
			return
		}
		w.runs = append(w.runs, run{at: time.Now(), host: name, isInTouch: w.isInTouch(n)})
		w.end(n, s, deadly)
	}
}

// isInTouch says whether neither the host nor the store has been disturbed lately.
func (w *world) isInTouch(n *node) bool {
	return w.isReached(n.name) && w.isReached(metastore.EveryHost) &&
		time.Since(n.disturbed) >= stableTime && time.Since(w.disturbed) >= stableTime
}

func (w *world) isReached(name string) bool { return !w.faults[name].Refuse && !w.faults[name].Silent }

// fail sets what the store does wrong for hosts, or for every host.
func (w *world) fail(f metastore.Faults, names ...string) {
	for _, name := range names {
		w.store.SetFaults(name, f)
		w.faults[name] = f
		w.disturb(name)
	}
}

func (w *world) disturb(name string) {
	if name == metastore.EveryHost {
		w.disturbed = time.Now()
	}
	if n := w.host(name); n != nil {
		n.disturbed = time.Now()
	}
}

// repeats counts the runs that the users' bound is on.
func (w *world) repeats() int {
	if len(w.runs) < 3 {
		return 0
	}
	counted := 0
	for _, r := range w.runs[3:] {
		if r.isInTouch && r.at.Sub(w.runs[2].at) > stableTime {
			counted++
		}
	}
	return counted
}

// event is something that goes wrong, or ends, at a time after the first request.
type event struct {
	at time.Duration
	do func(w *world)
}

// disruption is what goes wrong while the content keeps coming to a number of hosts.
type disruption func(names []string) []event

// inTurn does something to one host after the other, a second apart, and starts it
// anew after a pause.
func inTurn(do func(w *world, name string)) disruption {
	return func(names []string) []event {
		const pause = 400 * time.Millisecond
		var events []event
		for i, name := range names {
			at := time.Duration(2+i) * time.Second
			events = append(events,
				event{at, func(w *world) { do(w, name) }},
				event{at + pause, func(w *world) { w.start(name) }})
		}
		return events
	}
}

var (
	hostsRestartInTurn   = inTurn((*world).stopHost)
	hostsAreKilledInTurn = inTurn((*world).killHost)
)

// storeFailsSome makes the store fail for a third of the hosts.
func storeFailsSome(f metastore.Faults) disruption {
	return func(names []string) []event {
		some := names[:(len(names)+2)/3]
		return []event{
			{0, func(w *world) { w.fail(f, some...) }},
			{9 * time.Second, func(w *world) { w.fail(metastore.Faults{}, some...) }},
		}
	}
}

// storeFailsAll makes it fail for all hosts.
func storeFailsAll(f metastore.Faults) disruption {
	return func([]string) []event {
		return []event{
			{0, func(w *world) { w.fail(f, metastore.EveryHost) }},
			{5 * time.Second, func(w *world) { w.fail(metastore.Faults{}, metastore.EveryHost) }},
		}
	}
}

// storeDropsItsHistory keeps only the newest record of each key.
func storeDropsItsHistory([]string) []event {
	return []event{{time.Second, (*world).dropHistory}, {6 * time.Second, (*world).dropHistory}}
}

// enginesAreFull ends targets that run many other contents besides.
func enginesAreFull(names []string) []event {
	const running = 16
	var events []event
	for i := range 30 {
		events = append(events, event{time.Duration(i) * 200 * time.Millisecond, func(w *world) {
			s, n := w.free(), w.host(names[i%len(names)])
			if s == nil || n == nil {
				return
			}
			contents := make([]uint64, running)
			for k := range contents {
				contents[k] = w.random.Uint64()
			}
			w.end(n, s, contents...)
		}})
	}
	return events
}

func calm([]string) []event { return nil }

// pattern is when the content comes to which hosts.
type pattern struct {
	name     string
	requests func(w *world) []event
}

// playTime is how long the content keeps coming.
const playTime = 25 * time.Second

// steady brings the content to one host after the other.
func steady(every time.Duration) pattern {
	return pattern{fmt.Sprint("every ", every), func(w *world) []event {
		var events []event
		for at := time.Duration(0); at < playTime; at += every {
			events = append(events, request(at, w.names[w.random.IntN(len(w.names))]))
		}
		return events
	}}
}

// herds bring it to one host, and to all when the bound has begun to hold and again
// later.
var herds = pattern{"in herds", func(w *world) []event {
	events := []event{request(0, w.names[w.random.IntN(len(w.names))])}
	for _, at := range []time.Duration{stableTime, 8 * time.Second, 16 * time.Second, playTime} {
		for i, n := range w.random.Perm(len(w.names)) {
			events = append(events, request(at+time.Duration(i+1)*20*time.Millisecond, w.names[n]))
		}
	}
	return events
}}

func request(at time.Duration, name string) event {
	return event{at, func(w *world) { w.request(name) }}
}

var patterns = []pattern{steady(200 * time.Millisecond), steady(500 * time.Millisecond), steady(1500 * time.Millisecond), herds}

// play lets disruptions meet a fleet to which the content keeps coming.
func play(t *testing.T, seeds uint64, disruptions ...disruption) {
	t.Helper()
	t.Parallel()
	for _, p := range patterns {
		for seed := range seeds {
			synctest.Test(t, func(t *testing.T) { playOnce(t, p, seed, disruptions) })
		}
	}
}

func playOnce(t *testing.T, p pattern, seed uint64, disruptions []disruption) {
	t.Helper()
	w := newWorld(t, 10, 24, seed)
	defer w.stop()
	events := p.requests(w)
	for _, d := range disruptions {
		events = append(events, d(w.names)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	begun := time.Now()
	for _, e := range events {
		time.Sleep(time.Until(begun.Add(e.at)))
		e.do(w)
	}
	if n := w.repeats(); n > maxRepeats {
		t.Errorf("%s, seed %d: %d targets have ended, %d of them by hosts in touch later than %v after the third", p.name, seed, len(w.runs), n, stableTime)
	}
}

// The hosts that a content does not come to learn of its crashes before the bound
// holds for them.
func TestCrashesAreKnownInTime(t *testing.T) { play(t, plays, calm) }

// Hosts that start after a planned stop know the content, also when all others have
// been stopped since it came.
func TestCrashesAreKnownAfterAllHostsRestarted(t *testing.T) {
	t.Run("as planned", func(t *testing.T) { play(t, plays, hostsRestartInTurn) })
	t.Run("killed", func(t *testing.T) { play(t, plays, hostsAreKilledInTurn) })
}

// Crashes that a host sees while the store turns it away count at the others.
func TestCrashesAtHostsWithoutTheStoreAreKnown(t *testing.T) {
	t.Run("refusing some", func(t *testing.T) { play(t, plays, storeFailsSome(metastore.Faults{Refuse: true})) })
	t.Run("silent to some", func(t *testing.T) { play(t, plays, storeFailsSome(metastore.Faults{Silent: true})) })
	t.Run("losing answers", func(t *testing.T) { play(t, plays, storeFailsSome(metastore.Faults{LoseAnswers: 3})) })
	t.Run("silent to all", func(t *testing.T) { play(t, plays, storeFailsAll(metastore.Faults{Silent: true})) })
}

// The marks of a crash on a full engine displace no others.
func TestCrashesOnFullEnginesDisplaceNoMarks(t *testing.T) { play(t, plays, enginesAreFull) }

func TestCrashesAreKnownUnderDisruptionsInPairs(t *testing.T) {
	all := []struct {
		name string
		do   disruption
	}{
		{"planned stops", hostsRestartInTurn},
		{"kills", hostsAreKilledInTurn},
		{"away for some", storeFailsSome(metastore.Faults{Silent: true})},
		{"away for all", storeFailsAll(metastore.Faults{Refuse: true})},
		{"answers lost", storeFailsSome(metastore.Faults{LoseAnswers: 3})},
		{"compacted", storeDropsItsHistory},
		{"full engines", enginesAreFull},
	}
	for i, first := range all {
		for _, second := range all[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) { play(t, pairPlays, first.do, second.do) })
		}
	}
}
