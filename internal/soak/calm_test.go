package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"yuccausher/internal/standin/replica"
)

const (
	// applyTime is how soon a configuration is in force at calm hosts.
	applyTime = 2 * time.Second
	// departureTime is how soon a target knows that a caller has left.
	departureTime = 500 * time.Millisecond
	// drainWatch is how long a target that has drained is watched.
	drainWatch = 500 * time.Millisecond
	// slowWork is the time of a request to the service "slow".
	slowWork = 2 * time.Second
	// awaitPause is the time between two looks at what is awaited.
	awaitPause = 30 * time.Millisecond
	// ciSlack stretches these bounds in CI, whose machine may be busy. Seeds that
	// are played by hand have none.
	ciSlack = 3
	// versionStep is the distance between the versions of configurations.
	versionStep = 3
)

// reporter takes what a check finds.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// examination plays planned work on calm hosts, while callers go on.
type examination struct {
	world   *world
	callers *callers
	// slack stretches the bounds on a machine that may be busy.
	slack  time.Duration
	random *rand.Rand
	mu     sync.Mutex
}

// await returns when something holds, or after the stretched bound.
func (e *examination) await(bound time.Duration, holds func() bool) {
	for deadline := time.Now().Add(e.slack * bound); time.Now().Before(deadline) && !holds(); {
		time.Sleep(awaitPause)
	}
}

func (e *examination) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.FormatUint(e.random.Uint64(), 36)
}

// send makes a request with a connection of its own.
func (e *examination) send(ctx context.Context, h *host, path string) attempt {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	return e.callers.send(ctx, transport, h, path, "", 0, e.id(), "", "")
}

func (e *examination) run(r reporter) {
	r.Helper()
	var all sync.WaitGroup
	all.Go(func() { e.configuration(r) })
	all.Go(func() { e.drain(r) })
	all.Go(func() { e.departure(r) })
	all.Wait()
	e.plannedStop(r)
}

// configuration publishes a version and asks each host for what it adds and
// drops.
func (e *examination) configuration(r reporter) {
	r.Helper()
	version := e.world.configure()
	deadline := time.Now().Add(applyTime)
	for _, h := range e.world.hosts {
		added, dropped := 0, 0
		e.await(time.Until(deadline), func() bool {
			added = e.send(context.Background(), h, extraPath(version)).status
			dropped = e.send(context.Background(), h, extraPath(version-versionStep)).status
			return added == http.StatusOK && dropped == http.StatusNotFound
		})
		checkInForce(r, h.name, version, added, dropped)
	}
}

func checkInForce(r reporter, host string, version, added, dropped int) {
	r.Helper()
	if added != http.StatusOK || dropped != http.StatusNotFound {
		r.Errorf("%s answers %d on what version %d has added and %d on what it has dropped", host, added, version, dropped)
	}
}

func extraPath(version int) string { return fmt.Sprintf("/extra-%d/x", version) }

// drain lets a target leave and watches it after its time.
func (e *examination) drain(r reporter) {
	r.Helper()
	w := e.world
	w.mu.Lock()
	t := w.targets[modelTargets]
	t.isLeaving = true
	w.register(t)
	leaving := t.replica
	w.mu.Unlock()
	time.Sleep(e.slack * drainMillis * time.Millisecond)
	before := len(leaving.Runs())
	time.Sleep(drainWatch)
	checkDrained(r, leaving.ID(), before, len(leaving.Runs()))
	w.mu.Lock()
	t.isLeaving = false
	w.mu.Unlock()
	w.restart(t, 0)
}

func checkDrained(r reporter, target string, before, after int) {
	r.Helper()
	if after > before {
		r.Errorf("%d requests reached %s after it had drained", after-before, target)
	}
}

// departure lets a caller leave a long request.
func (e *examination) departure(r reporter) {
	r.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), slowWork/4)
	defer cancel()
	a := e.send(ctx, e.world.hosts[1], "/slow/x")
	e.await(departureTime, func() bool {
		runs := e.world.runsOf(a.id)
		return len(runs) == 1 && runs[0].Abandoned
	})
	checkDeparture(r, a, e.world.runsOf(a.id))
}

func checkDeparture(r reporter, a attempt, runs []replica.Run) {
	r.Helper()
	if len(runs) != 1 || !runs[0].Abandoned {
		r.Errorf("the caller of %s has left (%v), and its runs are %+v", a.id, a.err, runs)
	}
}

// plannedStop stops a host that has requests under way.
func (e *examination) plannedStop(r reporter) {
	r.Helper()
	const open = 3
	h := e.world.hosts[0]
	attempts := make([]attempt, open)
	var sending sync.WaitGroup
	for i := range attempts {
		sending.Go(func() { attempts[i] = e.send(context.Background(), h, "/slow/x") })
	}
	time.Sleep(slowWork / 4)
	h.signal(syscall.SIGTERM)
	sending.Wait()
	h.awaitEnd(stopSeconds * time.Second)
	checkStop(r, h.name, h.exitCode(), attempts)
	h.startIfEnded(e.world.t)
}

func checkStop(r reporter, host string, exitCode int, attempts []attempt) {
	r.Helper()
	if exitCode != 0 {
		r.Errorf("%s ended with %d after a planned stop", host, exitCode)
	}
	for _, a := range attempts {
		if a.status != http.StatusOK || !a.isWhole {
			r.Errorf("%s was cut by a planned stop of %s: %d, %v", a.id, host, a.status, a.err)
		}
	}
}

// sighting is an answer that shows which configuration a process had in force.
type sighting struct {
	host string
	// process is closed when the process has ended.
	process     <-chan struct{}
	version     int
	sent, ended time.Time
}

// watcher asks all hosts again and again for the newest configurations.
type watcher struct {
	world     *world
	callers   *callers
	sightings []sighting
	mu        sync.Mutex
}

const watchPause = 120 * time.Millisecond

func (v *watcher) run(ctx context.Context, h *host, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(watchPause)
		version := v.world.currentVersion() - versionStep*random.IntN(2)
		process := h.incarnation()
		sent := time.Now()
		a := v.callers.send(ctx, transport, h, extraPath(version), "", 0, strconv.FormatUint(random.Uint64(), 36), "", "")
		if a.status != http.StatusOK || h.incarnation() != process {
			continue
		}
		v.mu.Lock()
		v.sightings = append(v.sightings, sighting{host: h.name, process: process, version: version, sent: sent, ended: time.Now()})
		v.mu.Unlock()
	}
}

// checkVersions reports processes that went back to an older configuration.
func checkVersions(r reporter, sightings []sighting) {
	r.Helper()
	newest := make(map[<-chan struct{}]sighting)
	for _, s := range sightings {
		if seen, ok := newest[s.process]; ok && s.version < seen.version && s.sent.After(seen.ended) {
			r.Errorf("%s served version %d after version %d", s.host, s.version, seen.version)
		}
		if seen, ok := newest[s.process]; !ok || s.version > seen.version {
			newest[s.process] = s
		}
	}
}
