// Package routing chooses the target of a call. The choice minimises the
// expected time to the first token: the queue at the target, the prefill of
// the part of the prompt that is not cached there, and the network distance.
// A host looks at few targets per decision and at a subset of all targets, so
// that hosts with the same late reports do not all choose the same target.
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
	// Suspect targets broke a connection or missed a report; they are used
	// when no healthy target has room.
	Suspect
	// Leaving and Down targets get no new work.
	Leaving
	Down
)

// String names the state.
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
const othersGain = 0.5

// Target is what a host knows of one target. Reads are lock-free.
type Target struct {
	Name       string
	DataCentre string
	// Local says that the target is in the host's own data centre.
	Local bool

	concurrency atomic.Int32
	running     atomic.Int32
	limit       atomic.Int32
	suspects    atomic.Int32
	state       atomic.Int32
	reported    atomic.Int32
	others      atomic.Uint64
	accuracy    atomic.Uint64
	pressure    atomic.Uint64
	capacity    atomic.Int64
	incarnation atomic.Uint64

	mu      sync.Mutex
	changes changes
}

// NewTarget returns a healthy, idle target.
func NewTarget(name, dataCentre string, local bool, concurrency, limit int) *Target {
	t := &Target{Name: name, DataCentre: dataCentre, Local: local}
	t.SetConcurrency(concurrency)
	t.SetLimit(limit)
	t.accuracy.Store(math.Float64bits(1))
	return t
}

// SetConcurrency sets how many calls the target takes at once.
func (t *Target) SetConcurrency(n int) { t.concurrency.Store(int32(max(n, 1))) }

// Concurrency returns how many calls the target takes at once.
func (t *Target) Concurrency() int { return int(t.concurrency.Load()) }

// SetLimit sets how many calls this host may have at the target.
func (t *Target) SetLimit(n int) { t.limit.Store(int32(max(n, 1))) }

// Limit returns how many calls this host may have at the target.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// Running returns how many calls this host has at the target.
func (t *Target) Running() int { return int(t.running.Load()) }

// State returns the health of the target.
func (t *Target) State() State { return State(t.state.Load()) }

// SetState changes the health and returns the earlier one.
func (t *Target) SetState(s State) State { return State(t.state.Swap(int32(s))) }

// Incarnation returns the target's incarnation as last reported.
func (t *Target) Incarnation() uint64 { return t.incarnation.Load() }

// Pressure returns the share of the target's cache memory in use.
func (t *Target) Pressure() float64 { return math.Float64frombits(t.pressure.Load()) }

// Accuracy returns the share of believed cached tokens that the target found.
func (t *Target) Accuracy() float64 { return math.Float64frombits(t.accuracy.Load()) }

// Load returns how many calls are taken to be at the target, all hosts'.
func (t *Target) Load() float64 {
	return math.Float64frombits(t.others.Load()) + float64(t.running.Load())
}

// queueShare is the load, as a multiple of the concurrency, up to which a
// target takes new programs.
const queueShare = 1.25

// largeFootprint is the share of a target's memory from which on a program
// has to keep the whole reduced limit; smaller ones keep less of it.
const largeFootprint = 0.1

// takesNew says whether a new program may begin at the target: the queue is
// short, and no more of the memory is in use than a limit that is the lower,
// the more the program is expected to hold.
func (t *Target) takesNew(r *Request) bool {
	weight := 1.0
	if c := t.capacity.Load(); c > 0 {
		weight = min(r.Footprint/(largeFootprint*float64(c)), 1)
	}
	if t.Pressure() > 1-weight*r.MemoryReserve {
		return false
	}
	return t.Load()+1 <= queueShare*float64(t.concurrency.Load())
}

// Reported returns the load as the target last reported it.
func (t *Target) Reported() int { return int(t.reported.Load()) }

// Slot is what kind of slot a call takes.
type Slot struct {
	// Suspect says that the content has crashed a target; one such call runs
	// at a target at a time.
	Suspect bool
	// Entitled calls are of organisations below their share. They may go one
	// beyond the limit, so that an organisation that fills the slots does not
	// shut them out.
	Entitled bool
}

// entitledRoom is how many calls beyond the limit entitled calls may make.
const entitledRoom = 1

// open says whether the target may get a call now.
func (t *Target) open(s Slot) bool {
	limit := t.limit.Load()
	if s.Entitled {
		limit += entitledRoom
	}
	if t.State() >= Leaving || t.running.Load() >= limit {
		return false
	}
	return !s.Suspect || t.suspects.Load() == 0
}

// Begin counts a call in. It returns false if there is no room.
func (t *Target) Begin(now time.Time, s Slot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.open(s) {
		return false
	}
	t.running.Add(1)
	if s.Suspect {
		t.suspects.Add(1)
	}
	t.changes.add(now, 1)
	return true
}

// End counts a call out.
func (t *Target) End(now time.Time, s Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running.Add(-1)
	if s.Suspect {
		t.suspects.Add(-1)
	}
	t.changes.add(now, -1)
}

// Report is a target's own account of its load, made at ObservedAt.
type Report struct {
	Load           int
	UsedTokens     int64
	CapacityTokens int64
	Incarnation    uint64
	ObservedAt     time.Time
}

// Observe takes a report. The host's own calls at the time of the report are
// subtracted, so that dispatches since are counted at once and once only. It
// returns true if the target restarted since the last report.
func (t *Target) Observe(r Report) (restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported.Store(int32(r.Load))
	own := int(t.running.Load()) - t.changes.since(r.ObservedAt)
	others := math.Max(0, float64(r.Load-own))
	old := math.Float64frombits(t.others.Load())
	t.others.Store(math.Float64bits(old + othersGain*(others-old)))
	t.capacity.Store(r.CapacityTokens)
	if r.CapacityTokens > 0 {
		p := float64(r.UsedTokens) / float64(r.CapacityTokens)
		t.pressure.Store(math.Float64bits(p))
	}
	before := t.incarnation.Swap(r.Incarnation)
	restarted = before != 0 && before != r.Incarnation
	return restarted
}

// accuracyGain is the weight of one answer in the accuracy of beliefs.
const accuracyGain = 0.1

// ObserveCache takes the believed and the reported cached tokens of an answer.
func (t *Target) ObserveCache(believed, reported float64) {
	if believed < 1 {
		return
	}
	found := min(reported/believed, 1)
	old := t.Accuracy()
	t.accuracy.Store(math.Float64bits(old + accuracyGain*(found-old)))
}

// changeCount is how many recent changes of the own load are remembered.
const changeCount = 128

// changes is a ring of the latest changes of the own load.
type changes struct {
	ring [changeCount]change
	next int
}

type change struct {
	at    time.Time
	delta int
}

func (c *changes) add(at time.Time, delta int) {
	c.ring[c.next%changeCount] = change{at: at, delta: delta}
	c.next++
}

// since sums the changes after a time.
func (c *changes) since(at time.Time) int {
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
