package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/core/rendezvous"
)

// Fleet holds the targets of all services. It is safe for concurrent use.
type Fleet struct {
	// dataCentre is the host's own, whose targets are preferred.
	dataCentre string

	mu       sync.Mutex
	byID     map[string]*Target
	services map[string][]*Target
	// left holds the runs of targets that have said in answers that they are leaving,
	// and when. It outlasts their records, which may lapse and come back.
	left map[run]time.Time
	// seed orders targets that are alike differently at each host.
	seed uint64
}

// New returns an empty fleet as seen from a data centre. Hosts with different
// seeds keep to different targets.
func New(dataCentre string, seed uint64) *Fleet {
	return &Fleet{
		dataCentre: dataCentre,
		byID:       make(map[string]*Target),
		services:   make(map[string][]*Target),
		left:       make(map[run]time.Time),
		seed:       seed,
	}
}

// Change says what a record changed.
type Change int

// The changes of a target.
const (
	Unchanged Change = iota
	Joined
	Restarted
	Leaving
	Returned
	Lapsed
	Removed
)

// String names the change.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "leaving", "returned", "lapsed", "removed"}[c]
}

// Put takes a target's record.
func (f *Fleet) Put(m Member) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.byID[m.ID]
	if old == nil {
		f.add(m)
		return Joined
	}
	if !old.isSameStart(m) {
		f.drop(old)
		f.add(m)
		return Restarted
	}
	change := Unchanged
	switch {
	case m.Leaving && !old.Leaving:
		change = Leaving
	case !old.heldUntil.IsZero():
		change = Returned
	}
	m.Leaving = m.Leaving || old.saidLeaving
	old.Member = m
	old.heldUntil = time.Time{}
	return change
}

// run names one run of a target.
type run struct {
	id, address, service string
	startedAt            int64
}

func runOf(m Member) run {
	return run{id: m.ID, address: m.Address, service: m.Service, startedAt: m.StartedAt}
}

// leftMemory is for how long a run of a target that said that it is leaving is
// remembered. Targets end within some seconds of it; one of which no start is known
// may come back under the same ID.
const leftMemory = 2 * time.Minute

// Leave notes that a target has said in an answer that it is leaving. It gets no
// further requests, also where its record says otherwise. It returns false if that
// was known.
func (f *Fleet) MarkLeaving(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.left, func(_ run, at time.Time) bool { return now.Sub(at) > leftMemory })
	f.left[runOf(m)] = now
	t := f.byID[m.ID]
	if t == nil || !t.isSameStart(m) || t.saidLeaving {
		return false
	}
	wasLeaving := t.Leaving
	t.saidLeaving, t.Leaving = true, true
	return !wasLeaving
}

func (f *Fleet) add(m Member) {
	t := &Target{Member: m}
	if _, ok := f.left[runOf(m)]; ok {
		t.saidLeaving, t.Leaving = true, true
	}
	f.byID[m.ID] = t
	f.services[m.Service] = append(f.services[m.Service], t)
}

func (f *Fleet) drop(t *Target) {
	delete(f.byID, t.ID)
	list := f.services[t.Service]
	if i := slices.Index(list, t); i >= 0 {
		// Choices read the list under the lock, so it may change in place.
		f.services[t.Service] = slices.Delete(list, i, i+1)
	}
}

// Remove takes a target out, because its record is gone.
func (f *Fleet) Remove(id string) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil {
		return Unchanged
	}
	f.drop(t)
	return Removed
}

// Lapse notes that a record is gone which may have expired only because the
// store was away. The target stays in use until then.
func (f *Fleet) MarkLapsed(id string, until time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil || !t.heldUntil.IsZero() {
		return Unchanged
	}
	t.heldUntil = until
	return Lapsed
}

// Expire removes the targets whose records lapsed and did not come back in
// time, and returns their IDs.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gone []string
	for id, t := range f.byID {
		if !t.heldUntil.IsZero() && !now.Before(t.heldUntil) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		f.drop(f.byID[id])
	}
	return gone
}

// IDs returns the IDs of all targets.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.byID))
	for id := range f.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Members returns what the targets say of themselves.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Member, 0, len(f.byID))
	for _, t := range f.byID {
		list = append(list, t.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Request is what a choice depends on.
type Request struct {
	Service string
	// Affinity is shared by requests that share a long prompt prefix; empty
	// for requests that any target serves as well.
	Affinity string
	// Exclude lists the targets that have already refused the request.
	Exclude []string
}

// Choice is a target for one dispatch. End must be called once.
type Choice struct {
	Member
	// Cost is the target's expected time that decided the choice, and Before
	// how many requests of this host were there already.
	Cost     time.Duration
	InFlight int
	fleet    *Fleet
	target   *Target
	sent     time.Time
	began    bool
}

// Heard says that a part of an answer has arrived.
func (c *Choice) Received(now time.Time) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.begin()
	c.target.heardAt = now
}

// SilentFor returns for how long nothing has come from the target since it was sent
// the request, whatever else it was asked by this host.
func (c *Choice) SilentFor(now time.Time) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if c.target.heardAt.After(c.sent) {
		return now.Sub(c.target.heardAt)
	}
	return now.Sub(c.sent)
}

func (c *Choice) begin() {
	if c.began {
		return
	}
	c.began = true
	w := c.target.waiting
	if i := slices.Index(w, c.sent); i >= 0 {
		c.target.waiting = slices.Delete(w, i, i+1)
	}
}

// End takes the outcome of the dispatch.
func (c *Choice) End(now time.Time, o Outcome, first time.Duration) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.target.inFlight--
	if waited := now.Sub(c.sent); o == Abandoned && !c.began && first == 0 && waited.Seconds() > c.target.latency {
		// The answer would have taken longer still. Without it a target that never
		// answers would look as it did before.
		first = waited
	}
	c.begin()
	c.target.observe(now, o, first)
}

const (
	// homes is how many targets are compared for requests that share a prefix.
	// All hosts compare the same ones, so that a program that has left its
	// first home finds its prefix at the next.
	homes = 2
	// missCost is what reading a prompt again costs at any but the first home,
	// in seconds: some 3,000 tokens.
	missCost = 0.015
	// farCost is what a target in another data centre costs on top, in seconds: a
	// few milliseconds on the way, and a connection that is seldom used again. It
	// is small against the waits at a busy target.
	farCost = 0.02
	// slowFactor is how much slower than the median a plain target may be
	// before others go first. The times of single requests differ by as much.
	slowFactor = 4.0
)

// Choose returns a target for a dispatch, or nil if there is none that might
// take it. Targets that refused work as full a moment ago come last.
func (f *Fleet) Choose(r Request, now time.Time) *Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := make([]*Target, 0, 16)
	paused := make([]*Target, 0, 4)
	for _, t := range f.services[r.Service] {
		switch {
		case slices.Contains(r.Exclude, t.ID) || !t.isUsable(now):
		case !t.isOpen(now) || now.Before(t.fullUntil):
			paused = append(paused, t)
		default:
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		open = paused
	}
	if len(open) == 0 {
		return nil
	}
	best := f.best(r, open, now)
	cost := time.Duration(best.cost(now) * float64(time.Second))
	before := best.inFlight
	best.inFlight++
	best.waiting = append(best.waiting, now)
	return &Choice{Member: best.Member, Cost: cost, InFlight: before, fleet: f, target: best, sent: now}
}

func (f *Fleet) best(r Request, open []*Target, now time.Time) *Target {
	if r.Affinity == "" {
		return f.least(open, now)
	}
	var best *Target
	least := 0.0
	for rank, t := range f.homesOf(r.Affinity, open) {
		c := t.cost(now)
		if rank > 0 {
			c += missCost
		}
		if t.DataCentre != f.dataCentre {
			c += farCost
		}
		if best == nil || c < least {
			best, least = t, c
		}
	}
	return best
}

// homesOf returns the targets that are compared for a program: the first one in
// the host's own data centre, and the first ones of all, which hosts of all data
// centres compare.
func (f *Fleet) homesOf(affinity string, open []*Target) []*Target {
	order := rendezvous.Order(affinity, open, targetID)
	homes := order[:min(homes, len(order))]
	near := slices.IndexFunc(order, func(t *Target) bool { return t.DataCentre == f.dataCentre })
	if near <= 0 {
		return homes
	}
	rest := slices.DeleteFunc(slices.Clone(homes), func(t *Target) bool { return t == order[near] })
	return append([]*Target{order[near]}, rest...)
}

func targetID(t *Target) string { return t.ID }

// least returns the target with the fewest of this host's requests, and of
// those the first in an order of the host's own. Each host so keeps to few
// targets while its load is low, which spares connections, and hosts differ in
// the targets that they keep to.
func (f *Fleet) least(open []*Target, now time.Time) *Target {
	median := medianLatency(open)
	return slices.MinFunc(open, func(a, b *Target) int {
		return cmp.Or(
			compareBool(a.isSlow(now, median) || a.isSuspect(now), b.isSlow(now, median) || b.isSuspect(now)),
			cmp.Compare(a.inFlight, b.inFlight),
			compareBool(a.DataCentre != f.dataCentre, b.DataCentre != f.dataCentre),
			cmp.Compare(f.rank(a), f.rank(b)),
		)
	})
}

// rank is a target's place in the host's own order.
func (f *Fleet) rank(t *Target) uint64 { return xxhash.Sum64String(t.ID) ^ f.seed }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// medianLatency is the median of the targets' mean latencies, in seconds. Targets
// that have not answered yet are left out: with their assumed latency, the few that
// a host uses at low load would all count as slow. Zero if none has answered.
func medianLatency(targets []*Target) float64 {
	known := make([]float64, 0, len(targets))
	for _, t := range targets {
		if t.latency > 0 {
			known = append(known, t.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Count returns how many targets of a service may be chosen.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.services[service] {
		if !t.Leaving {
			n++
		}
	}
	return n
}
