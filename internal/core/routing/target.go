// Package routing chooses the target of a call. The choice minimises the expected
// time to the first token, which consists of the queue at the target, the prefill of
// the part of the prompt that is not cached there, and the network distance. A host
// compares few targets per decision and uses a subset of all targets, so that hosts
// with the same outdated reports do not all choose the same target.
package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// State is the health of a target.
type State int32

// The states of a target.
const (
	Healthy State = iota
	// Suspect targets broke a connection or missed a report. They are used if no
	// healthy target has a free slot.
	Suspect
	// Leaving and Down targets get no new calls.
	Leaving
	Down
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	}
	return "healthy"
}

// othersGain is the weight of a new report in the estimate of the load that
// other hosts put on a target.
const otherLoadGain = 0.5

// Target holds what a host knows about one target. Reads are lock-free.
type Target struct {
	Name       string
	DataCentre string
	// Local is set if the target is in the host's own data centre.
	Local bool

	concurrency atomic.Int32
	running     atomic.Int32
	limit       atomic.Int32
	suspects    atomic.Int32
	state       atomic.Int32
	reported    atomic.Int32
	otherLoad   atomic.Uint64
	accuracy    atomic.Uint64
	pressure    atomic.Uint64
	capacity    atomic.Int64
	incarnation atomic.Uint64

	mu      sync.Mutex
	changes loadChanges
}

// NewTarget returns a healthy, idle target.
func NewTarget(name, dataCentre string, local bool, concurrency, limit int) *Target {
	t := &Target{Name: name, DataCentre: dataCentre, Local: local}
	t.SetConcurrency(concurrency)
	t.SetLimit(limit)
	t.accuracy.Store(math.Float64bits(1))
	return t
}

// SetConcurrency sets how many calls the target runs concurrently, at least one.
func (t *Target) SetConcurrency(n int) { t.concurrency.Store(int32(max(n, 1))) }

// Concurrency returns how many calls the target runs concurrently.
func (t *Target) Concurrency() int { return int(t.concurrency.Load()) }

// SetLimit sets how many calls this host may have at the target, at least one.
func (t *Target) SetLimit(n int) { t.limit.Store(int32(max(n, 1))) }

// Limit returns how many calls this host may have at the target.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// Running returns how many calls this host has at the target.
func (t *Target) Running() int { return int(t.running.Load()) }

// State returns the health of the target.
func (t *Target) State() State { return State(t.state.Load()) }

// SetState changes the health of the target and returns the previous one.
func (t *Target) SetState(s State) State { return State(t.state.Swap(int32(s))) }

// Incarnation returns the last reported incarnation of the target.
func (t *Target) Incarnation() uint64 { return t.incarnation.Load() }

// Pressure returns the share of the target's cache memory that is in use.
func (t *Target) Pressure() float64 { return math.Float64frombits(t.pressure.Load()) }

// Accuracy returns the mean share of the expected cached tokens that the target
// actually held.
func (t *Target) Accuracy() float64 { return math.Float64frombits(t.accuracy.Load()) }

// Load returns the estimated number of calls of all hosts at the target.
func (t *Target) Load() float64 {
	return math.Float64frombits(t.otherLoad.Load()) + float64(t.running.Load())
}

// maxNewProgramLoad is the load, as a multiple of the concurrency, up to which a
// target accepts new programs.
const maxNewProgramLoad = 1.25

// largeFootprint is the share of a target's memory from which on the memory reserve
// applies to a program in full. It applies to smaller programs in proportion.
const largeFootprint = 0.1

// acceptsNewProgram reports whether a new program may start at the target. The queue
// must be short, and the memory in use must not exceed a limit, which is lower for
// programs with a larger expected footprint.
func (t *Target) acceptsNewProgram(r *Request) bool {
	weight := 1.0
	if c := t.capacity.Load(); c > 0 {
		weight = min(r.Footprint/(largeFootprint*float64(c)), 1)
	}
	if t.Pressure() > 1-weight*r.MemoryReserve {
		return false
	}
	return t.Load()+1 <= maxNewProgramLoad*float64(t.concurrency.Load())
}

// Reported returns the load that the target last reported.
func (t *Target) Reported() int { return int(t.reported.Load()) }

// Slot is the kind of slot that a call needs.
type Slot struct {
	// Suspect is set if the content has crashed a target. A target runs one such
	// call of this host at a time.
	Suspect bool
	// Entitled is set for calls of organisations that use less than their share. They
	// may exceed the limit by one, so that an organisation that takes all slots does
	// not block them.
	Entitled bool
}

// entitledExtra is by how many calls entitled calls may exceed the limit.
const entitledExtra = 1

// hasRoom reports whether the target may get a call now.
func (t *Target) hasRoom(s Slot) bool {
	limit := t.limit.Load()
	if s.Entitled {
		limit += entitledExtra
	}
	if t.State() >= Leaving || t.running.Load() >= limit {
		return false
	}
	return !s.Suspect || t.suspects.Load() == 0
}

// Begin counts a call as running at the target. It returns false if the target has no
// free slot for it.
func (t *Target) Begin(now time.Time, s Slot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasRoom(s) {
		return false
	}
	t.running.Add(1)
	if s.Suspect {
		t.suspects.Add(1)
	}
	t.changes.add(now, 1)
	return true
}

// End removes a call from those that run at the target.
func (t *Target) End(now time.Time, s Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running.Add(-1)
	if s.Suspect {
		t.suspects.Add(-1)
	}
	t.changes.add(now, -1)
}

// Report is the load of a target as it reported it, as of ObservedAt.
type Report struct {
	Load           int
	UsedTokens     int64
	CapacityTokens int64
	Incarnation    uint64
	ObservedAt     time.Time
}

// Observe updates the target with a report. The host's own calls at the time of the
// report are subtracted from the reported load, so that later dispatches of this host
// count immediately and only once. It returns true if the target restarted since the
// last report.
func (t *Target) Observe(r Report) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported.Store(int32(r.Load))
	own := int(t.running.Load()) - t.changes.sumSince(r.ObservedAt)
	others := math.Max(0, float64(r.Load-own))
	old := math.Float64frombits(t.otherLoad.Load())
	t.otherLoad.Store(math.Float64bits(old + otherLoadGain*(others-old)))
	t.capacity.Store(r.CapacityTokens)
	if r.CapacityTokens > 0 {
		p := float64(r.UsedTokens) / float64(r.CapacityTokens)
		t.pressure.Store(math.Float64bits(p))
	}
	before := t.incarnation.Swap(r.Incarnation)
	restarted = before != 0 && before != r.Incarnation
	return restarted
}

// accuracyGain is the weight of one answer in the accuracy.
const accuracyGain = 0.1

// ObserveCache updates the accuracy with the expected and the reported number of
// cached tokens of an answer.
func (t *Target) ObserveCache(expected, reported float64) {
	if expected < 1 {
		return
	}
	found := min(reported/expected, 1)
	old := t.Accuracy()
	t.accuracy.Store(math.Float64bits(old + accuracyGain*(found-old)))
}

// changeCount is how many recent changes of the host's own load are kept.
const changeCount = 128

// loadChanges is a ring buffer of the latest changes of the host's own load.
type loadChanges struct {
	ring [changeCount]loadChange
	next int
}

type loadChange struct {
	at    time.Time
	delta int
}

func (c *loadChanges) add(at time.Time, delta int) {
	c.ring[c.next%changeCount] = loadChange{at: at, delta: delta}
	c.next++
}

// sumSince returns the sum of the changes after a time.
func (c *loadChanges) sumSince(at time.Time) int {
	sum := 0
	for i := c.next - 1; i >= 0 && i >= c.next-changeCount; i-- {
		entry := c.ring[i%changeCount]
		if !entry.at.After(at) {
			break
		}
		sum += entry.delta
	}
	return sum
}
