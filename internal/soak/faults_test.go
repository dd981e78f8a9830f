package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"yuccausher/internal/standin/metastore"
	"yuccausher/internal/standin/replica"
)

const (
	// faultGap and faultLength bound the time between faults and how long each
	// lasts; faults overlap.
	faultGap    = 500 * time.Millisecond
	faultLength = 1800 * time.Millisecond
	// restartDelay is when a process that has ended by itself is started again.
	restartDelay = 200 * time.Millisecond
)

// injector harms a world at random, from outside its processes.
type injector struct {
	world   *world
	random  *rand.Rand
	running sync.WaitGroup
	// counts tells how many faults of each kind were injected.
	counts map[string]int

	mu sync.Mutex
	// isCutOff holds the hosts that are cut off from all targets.
	isCutOff map[int]bool
}

// run injects faults until ctx ends, and returns when all have passed.
func (j *injector) run(ctx context.Context) {
	kinds := []struct {
		name   string
		inject func(time.Duration)
	}{
		{"store fails", j.storeFails},
		{"path to store", j.pathToStore},
		{"path to target", j.pathToTarget},
		{"host cut off from targets", j.cutOff},
		{"target fails", j.targetFails},
		{"target crashes", j.targetCrashes},
		{"target limits its rate", j.limitRate},
		{"host killed", j.kill},
		{"host paused", j.pause},
		{"host stopped", j.stop},
		{"configuration and settings", j.change},
	}
	j.counts = make(map[string]int)
	for ctx.Err() == nil {
		kind := kinds[j.random.IntN(len(kinds))]
		j.counts[kind.name]++
		kind.inject(time.Duration(j.random.Int64N(int64(faultLength))))
		time.Sleep(time.Duration(j.random.Int64N(int64(faultGap))))
	}
	j.running.Wait()
}

// during starts a fault and ends it after d.
func (j *injector) during(d time.Duration, start, end func()) {
	start()
	j.running.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (j *injector) host() *host { return j.world.hosts[j.random.IntN(len(j.world.hosts))] }

func (j *injector) target() *target { return j.world.targets[j.random.IntN(len(j.world.targets))] }

func (j *injector) storeFails(d time.Duration) {
	faults := []metastore.Faults{
		{Refuse: true},
		{Silent: true},
		{Delay: 150 * time.Millisecond},
	}
	f := faults[j.random.IntN(len(faults))]
	j.during(d, func() { j.world.store.SetFaults(metastore.EveryHost, f) }, func() {
		j.world.store.SetFaults(metastore.EveryHost, metastore.Faults{})
	})
}

func (j *injector) pathToStore(d time.Duration) { j.harm(j.host().store, d) }

func (j *injector) pathToTarget(d time.Duration) { j.harm(j.target().proxy, d) }

// cutOff cuts a host off from all targets. The store and the other hosts still reach it.
func (j *injector) cutOff(d time.Duration) {
	host := j.random.IntN(len(j.world.hosts))
	how := []lostPath{
		{start: func(p *proxy) { p.set(silent) }, end: func(p *proxy) error { p.reset(); p.set(open); return nil }},
		{start: (*proxy).refuse, end: (*proxy).reopen},
		{start: (*proxy).refuseNew, end: (*proxy).reopen},
	}[j.random.IntN(3)]
	if !j.setCutOff(host, true) {
		return
	}
	j.during(d, func() {
		for _, t := range j.world.targets {
			how.start(t.paths[host])
		}
	}, func() {
		for _, t := range j.world.targets {
			if err := how.end(t.paths[host]); err != nil {
				j.world.t.Error(err)
			}
		}
		j.setCutOff(host, false)
	})
}

// lostPath is how a host loses its path to a target, and gets it back.
type lostPath struct {
	start func(*proxy)
	end   func(*proxy) error
}

// setCutOff sets whether a host is cut off. It returns false if it was already.
func (j *injector) setCutOff(host int, isCutOff bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isCutOff[host] == isCutOff {
		return false
	}
	j.isCutOff[host] = isCutOff
	return true
}

func (j *injector) harm(p *proxy, d time.Duration) {
	modes := []mode{slow, silent, oneWay, open}
	m := modes[j.random.IntN(len(modes))]
	j.during(d, func() { p.set(m) }, func() {
		p.reset()
		p.set(open)
	})
}

func (j *injector) targetFails(d time.Duration) {
	faults := []replica.Fault{replica.Full, replica.Lost, replica.Reset, replica.Cut, replica.Garbled, replica.Extra,
		replica.Stray, replica.Unframed, replica.Closing, replica.HalfClosed, replica.Failing}
	f := faults[j.random.IntN(len(faults))]
	t := j.target()
	j.world.mu.Lock()
	r := t.replica
	j.world.mu.Unlock()
	if r != nil {
		j.during(d, func() { r.FailAlways(f) }, func() { r.FailAlways(replica.None) })
	}
}

func (j *injector) targetCrashes(d time.Duration) {
	t := j.target()
	j.world.mu.Lock()
	isUp := t.replica != nil
	j.world.mu.Unlock()
	if isUp {
		j.world.restart(t, d/4)
	}
}

func (j *injector) kill(d time.Duration) {
	h := j.host()
	h.signal(syscall.SIGKILL)
	j.restart(h, d/4)
}

func (j *injector) pause(d time.Duration) {
	h := j.host()
	j.during(d, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })
}

func (j *injector) stop(d time.Duration) {
	h := j.host()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	j.restart(h, d/4)
}

// restart starts a host's process again some time after it has ended.
func (j *injector) restart(h *host, after time.Duration) {
	j.running.Go(func() {
		h.awaitEnd(stopSeconds * time.Second)
		time.Sleep(after)
		h.startIfEnded(j.world.t)
	})
}

func hasEnded(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

func (j *injector) change(time.Duration) {
	j.world.configure()
	h := j.host()
	h.signal(syscall.SIGHUP)
	// A process that the signal meets before it is up ends, and is started
	// again as the platform does it.
	j.running.Go(func() {
		time.Sleep(restartDelay)
		h.startIfEnded(j.world.t)
	})
}
