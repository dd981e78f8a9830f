package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replay has the dimensions of the observed case.
const (
	replayTargets  = 45
	replayHosts    = 13
	replayPaths    = 450
	replayInFlight = 8
	replayLimit    = 3
	replayTick     = 50 * time.Millisecond
	replayTime     = 40 * time.Second
	// replayArrivals is the mean number of innocent requests a tick, of replayPrograms. Deadly
	// ones are of one of deadlyPrograms.
	replayArrivals = 12
	replayPrograms = 300
	deadlyPrograms = 18
	// replayGrace is the time after the third crash from which on repeats are limited to
	// replayRepeats.
	replayGrace   = 3 * time.Second
	replayRepeats = 3
)

// judge is what one host knows of deadly requests.
type judge interface {
	refuses(features []Feature) bool
	crashed(marks []Mark)
	// answered returns the marks that a complete answer has cleared.
	answered(features []Feature) []Mark
	remove(m Mark)
}

type replayRequest struct {
	features []Feature
	isDeadly bool
	host     int
	attempts int
	endsAt   time.Duration
}

type replayTarget struct {
	run      int64
	upAt     time.Duration
	requests []*replayRequest
}

type replay struct {
	random  *rand.Rand
	now     time.Duration
	hosts   []judge
	targets []replayTarget
	waiting []*replayRequest
	news    map[time.Duration][]func()
	// turns is the length of each program's conversation.
	turns    [replayPrograms + deadlyPrograms]uint64
	crashes  int
	thirdAt  time.Duration
	repeats  int
	innocent int
	refused  int
}

// request returns a request whose body contains the conversation of its program so far.
func (r *replay) request(path, program int, isDeadly bool) *replayRequest {
	r.turns[program]++
	of := func(k Kind, id uint64) Feature { return Feature{k, uint64(k)<<60 | id} }
	return &replayRequest{isDeadly: isDeadly, host: r.random.IntN(replayHosts), features: []Feature{
		of(Content, r.turns[program]<<32|uint64(program)<<16|uint64(path)),
		of(Session, uint64(program)),
		of(Program, uint64(program)),
		of(Path, uint64(path)),
	}}
}

// tell lets all other hosts know after the time that a read of the log takes.
func (r *replay) tell(from int, f func(judge)) {
	for i, h := range r.hosts {
		if i != from {
			at := r.now + time.Duration(1+r.random.IntN(16))*replayTick
			r.news[at] = append(r.news[at], func() { f(h) })
		}
	}
}

// send starts a request at a random target with room.
func (r *replay) send(q *replayRequest) {
	if r.hosts[q.host].refuses(q.features) {
		if !q.isDeadly {
			r.refused++
		}
		return
	}
	i := r.random.IntN(replayTargets)
	t := &r.targets[i]
	if r.now < t.upAt || len(t.requests) >= replayInFlight {
		r.waiting = append(r.waiting, q)
		return
	}
	q.endsAt = r.now + time.Duration(6+r.random.IntN(30))*replayTick
	if q.isDeadly {
		q.endsAt = r.now + time.Duration(2+r.random.IntN(6))*replayTick
		if r.crashes >= replayLimit && r.now > r.thirdAt+replayGrace {
			r.repeats++
		}
	}
	t.requests = append(t.requests, q)
}

// crash ends a run of a target. All requests in flight at it are passed on.
func (r *replay) crash(i int) {
	t := &r.targets[i]
	r.crashes++
	if r.crashes == replayLimit {
		r.thirdAt = r.now
	}
	byHost := map[int][]Mark{}
	for _, q := range t.requests {
		for _, f := range q.features {
			byHost[q.host] = append(byHost[q.host], Mark{Fingerprint: f.Fingerprint, Kind: f.Kind, Target: fmt.Sprint("t", i), Run: t.run + 1, At: int64(r.now)})
		}
		if q.attempts++; q.attempts < 3 {
			q.host = r.random.IntN(replayHosts)
			r.waiting = append(r.waiting, q)
		}
	}
	for host := range replayHosts {
		if marks := byHost[host]; len(marks) > 0 {
			r.hosts[host].crashed(marks)
			r.tell(host, func(j judge) { j.crashed(marks) })
		}
	}
	t.requests, t.run = nil, t.run+1
	t.upAt = r.now + time.Duration(20+r.random.IntN(60))*replayTick
}

func (r *replay) endRequests() {
	for i := range r.targets {
		t := &r.targets[i]
		if slices.ContainsFunc(t.requests, func(q *replayRequest) bool { return q.isDeadly && q.endsAt <= r.now }) {
			r.crash(i)
			continue
		}
		t.requests = slices.DeleteFunc(t.requests, func(q *replayRequest) bool {
			if q.endsAt > r.now {
				return false
			}
			for _, m := range r.hosts[q.host].answered(q.features) {
				r.tell(q.host, func(j judge) { j.remove(m) })
			}
			return true
		})
	}
}

// run replays the case with a deadly request in every deadlyEvery ticks on average.
func (r *replay) run(deadlyEvery int) {
	for ; r.now < replayTime; r.now += replayTick {
		for _, f := range r.news[r.now] {
			f()
		}
		delete(r.news, r.now)
		r.endRequests()
		passedOn := r.waiting
		r.waiting = nil
		for _, q := range passedOn {
			r.send(q)
		}
		for range r.random.IntN(2*replayArrivals + 1) {
			r.innocent++
			r.send(r.request(1+r.random.IntN(replayPaths), r.random.IntN(replayPrograms), false))
		}
		if r.random.IntN(deadlyEvery) == 0 {
			r.send(r.request(0, replayPrograms+r.random.IntN(deadlyPrograms), true))
		}
	}
}

// Guards against a deadly path whose bodies differ: each of its bodies had to crash three
// targets by itself, and most of what was refused instead ran beside it by chance.
func TestPathWithDifferingBodiesIsRefused(t *testing.T) {
	for seed := range uint64(16) {
		checkReplay(t, seed)
	}
}

// Guards against deadly requests that start at several hosts before the first crash after the
// quarantine of another content is known. Listed in KNOWN-RED.txt.
func TestConcurrentBodiesOfOnePathAreRefused(t *testing.T) {
	for _, seed := range []uint64{107, 113, 217} {
		checkReplay(t, seed)
	}
}

func checkReplay(t *testing.T, seed uint64) {
	// Even seeds have several deadly requests at a time, odd ones have them one by one.
	deadlyEvery := []int{10, 60}[seed%2]
	r := &replay{random: rand.New(rand.NewPCG(seed, 0)), news: map[time.Duration][]func(){}, targets: make([]replayTarget, replayTargets)}
	for range replayHosts {
		r.hosts = append(r.hosts, newJudge())
	}
	r.run(deadlyEvery)
	t.Logf("seed %d: %d crashes, %d repeats, %d of %d innocent requests refused", seed, r.crashes, r.repeats, r.refused, r.innocent)
	if r.repeats > replayRepeats {
		t.Errorf("seed %d: sent %d times later than %v after the third crash", seed, r.repeats, replayGrace)
	}
	if r.crashes < replayLimit || r.refused >= replayInFlight {
		t.Errorf("seed %d: %d crashes, %d innocent requests refused", seed, r.crashes, r.refused)
	}
}
