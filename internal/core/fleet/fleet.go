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

// Fleet holds the targets of all services as one host sees them. It is safe for
// concurrent use.
type Fleet struct {
	// dataCentre is that of the host. Its targets are preferred.
	dataCentre string

	mu       sync.Mutex
	byID     map[string]*Target
	services map[string][]*Target
	// leavingRuns holds the runs of targets that have announced in an answer that
	// they are leaving, and when. The entries outlive the targets' records, which
	// may lapse and be restored.
	leavingRuns map[run]time.Time
	// limited holds the targets that limit their rate.
	limited map[string]*Target
	// announced holds the releases that all hosts can learn to be in use.
	announced map[Release]bool
	// speeds holds what is known of the speeds of each service's targets, answerTimes the mean
	// time of each service's answers.
	speeds      map[string]*speeds
	answerTimes map[string]time.Duration
	// seed gives each host its own order of equivalent targets.
	seed uint64
}

// New returns an empty fleet for a host in a data centre. Hosts with different
// seeds prefer different targets among equivalent ones.
func New(dataCentre string, seed uint64) *Fleet {
	return &Fleet{
		dataCentre:  dataCentre,
		byID:        make(map[string]*Target),
		services:    make(map[string][]*Target),
		leavingRuns: make(map[run]time.Time),
		limited:     make(map[string]*Target),
		announced:   make(map[Release]bool),
		speeds:      make(map[string]*speeds),
		answerTimes: make(map[string]time.Duration),
		seed:        seed,
	}
}

// Change is the effect of a record on the fleet.
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

// String returns the change in lower case.
func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "leaving", "returned", "lapsed", "removed"}[c]
}

// Put adds or updates a target from its record.
func (f *Fleet) Put(m Member) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.byID[m.ID]
	if old == nil {
		f.add(m)
		return Joined
	}
	if !old.isSameRun(m) {
		f.drop(old)
		f.add(m)
		return Restarted
	}
	change := Unchanged
	switch {
	case m.Leaving && !old.Leaving:
		change = Leaving
	case !old.lapsedUntil.IsZero():
		change = Returned
	}
	m.Leaving = m.Leaving || old.announcedLeaving
	old.Member = m
	old.lapsedUntil = time.Time{}
	return change
}

// run identifies one run of a target.
type run struct {
	id, address, service string
	startedAt            int64
}

func runOf(m Member) run {
	return run{id: m.ID, address: m.Address, service: m.Service, startedAt: m.StartedAt}
}

// leavingRunTTL is how long the run of a leaving target is remembered. Targets
// end within seconds of the announcement. The entry has to expire, because a later
// run with the same ID looks the same if its start time is not known.
const leavingRunTTL = 2 * time.Minute

// MarkLeaving records that a target has announced in an answer that it is
// leaving. The target gets no further requests, even if its record does not say
// that it is leaving. It returns false if this was already known or if the fleet
// does not contain this run of the target.
func (f *Fleet) MarkLeaving(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.leavingRuns, func(_ run, at time.Time) bool { return now.Sub(at) > leavingRunTTL })
	f.leavingRuns[runOf(m)] = now
	t := f.byID[m.ID]
	if t == nil || !t.isSameRun(m) || t.announcedLeaving {
		return false
	}
	wasLeaving := t.Leaving
	t.announcedLeaving, t.Leaving = true, true
	return !wasLeaving
}

func (f *Fleet) add(m Member) {
	t := &Target{Member: m}
	if _, ok := f.leavingRuns[runOf(m)]; ok {
		t.announcedLeaving, t.Leaving = true, true
	}
	f.byID[m.ID] = t
	f.services[m.Service] = append(f.services[m.Service], t)
}

func (f *Fleet) drop(t *Target) {
	delete(f.byID, t.ID)
	delete(f.limited, t.ID)
	list := f.services[t.Service]
	if i := slices.Index(list, t); i >= 0 {
		// Readers of the list hold the lock, so it may change in place.
		f.services[t.Service] = slices.Delete(list, i, i+1)
	}
}

// Remove removes a target whose record was deleted.
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

// MarkLapsed records that a target's record is missing, possibly only because it
// expired while the store was unavailable. The target stays in use up to the
// time until.
func (f *Fleet) MarkLapsed(id string, until time.Time) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[id]
	if t == nil || !t.lapsedUntil.IsZero() {
		return Unchanged
	}
	t.lapsedUntil = until
	return Lapsed
}

// Expire removes the targets whose lapsed records were not restored in time and
// returns their IDs in order.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var expired []string
	for id, t := range f.byID {
		if !t.lapsedUntil.IsZero() && !now.Before(t.lapsedUntil) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		f.drop(f.byID[id])
	}
	return expired
}

// IDs returns the IDs of all targets in order.
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

// Members returns the records of all targets, ordered by ID.
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

// Request holds the properties of a request that determine its target.
type Request struct {
	Service string
	// Affinity is the same for requests that share a long prompt prefix. It is
	// empty for requests that all targets serve equally well.
	Affinity string
	// PromptTokens is the size of the prompt; zero if unknown.
	PromptTokens int64
	// Exclude lists the targets that have already refused the request.
	Exclude []string
	// SkipLimited excludes all targets that limit their rate.
	SkipLimited bool
	// Version is the only software version that may run the request. It applies if
	// IsVersionBound is set.
	Version        string
	IsVersionBound bool
	// IsResumable is set if another host may have to find out which version has begun to
	// run the request.
	IsResumable bool
}

// allows reports whether a target has a software version that may run the request.
func (r Request) allows(t *Target) bool { return !r.IsVersionBound || t.Version == r.Version }

const (
	// preferredTargets is how many targets are compared for requests that share a
	// prefix. All hosts compare the same ones, so that a program that moves away
	// from its first target finds its prefix at the next.
	preferredTargets = 2
	// tokenMissCost is the cost of reading a prompt again at any but the first
	// preferred target, in seconds a token.
	tokenMissCost = 5e-6
	// minPromptTokens is the least size of a prompt that is assumed: a short prompt
	// grows with the turns of its program.
	minPromptTokens = 3000
	// remoteCost is the additional cost of a target in another data centre, in
	// seconds: a few milliseconds of network time, and a connection that is seldom
	// reused. It is small compared to the waits at a busy target.
	remoteCost = 0.02
	// slowFactor is the multiple of the median latency above which requests
	// without affinity prefer other targets. Single requests vary by as much.
	slowFactor = 4.0
)

// Choose returns a target for a dispatch, or nil if no target may get it.
func (f *Fleet) Choose(r Request, now time.Time) *Choice {
	candidates := f.Candidates(r, 1, now)
	if len(candidates) == 0 {
		return nil
	}
	return f.Begin(candidates[0], now)
}

// Candidates returns up to limit targets for a dispatch, the best one first, the others
// in the order in which programs with the same affinity prefer them; without affinity
// only the best one. Targets that are paused after a failure are only returned if there are
// no others, those that recently refused a request as full not at all: while all targets
// are full, each host asks each of them now and then, however many requests wait.
func (f *Fleet) Candidates(r Request, limit int, now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	available := f.available(r, now)
	if len(available) == 0 {
		return nil
	}
	if r.Affinity == "" {
		return []Member{f.leastLoaded(available, now).Member}
	}
	order := rendezvous.Order(r.Affinity, available, targetID)
	best := f.cheapest(order, r.missCost(), now)
	candidates := append(make([]Member, 0, limit), best.Member)
	slices.SortStableFunc(order, func(a, b *Target) int { return compareBool(a.isSuspect(now), b.isSuspect(now)) })
	for _, t := range order {
		if t != best && len(candidates) < limit {
			candidates = append(candidates, t.Member)
		}
	}
	return candidates
}

// available returns the targets that may get a request.
func (f *Fleet) available(r Request, now time.Time) []*Target {
	available := make([]*Target, 0, 16)
	paused := make([]*Target, 0, 4)
	onlyAnnounced := f.needsAnnouncedRelease(r, now)
	for _, t := range f.services[r.Service] {
		switch {
		case !r.allows(t) || slices.Contains(r.Exclude, t.ID) || !t.isUsable(now) || t.isDenied(now) || r.SkipLimited && t.isLimited():
		case t.isFull(now) || onlyAnnounced && !f.announced[t.Release()]:
		case !t.isPauseOver(now):
			paused = append(paused, t)
		default:
			available = append(available, t)
		}
	}
	if len(available) == 0 {
		return paused
	}
	return available
}

// IsFull reports whether some target for a request recently refused another one as full.
func (f *Fleet) IsFull(r Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[r.Service], func(t *Target) bool { return r.allows(t) && t.isUsable(now) && t.isFull(now) })
}

// HasTarget reports whether any target may run a request, now or after a pause.
func (f *Fleet) HasTarget(r Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[r.Service], func(t *Target) bool {
		return r.allows(t) && t.isUsable(now) && !slices.Contains(r.Exclude, t.ID)
	})
}

// Begin records a dispatch to a target. It returns nil if the target has ended or is
// leaving.
func (f *Fleet) Begin(m Member, now time.Time) *Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byID[m.ID]
	if t == nil || !t.isSameRun(m) || !t.isUsable(now) {
		return nil
	}
	cost := time.Duration(f.cost(t, now) * float64(time.Second))
	earlier := t.inFlight
	t.inFlight++
	t.unanswered = append(t.unanswered, now)
	return &Choice{Member: t.Member, Cost: cost, InFlight: earlier, fleet: f, target: t, sentAt: now}
}

// missCost returns the cost of reading the request's prompt at a target that has not
// cached it, in seconds.
func (r Request) missCost() float64 {
	return tokenMissCost * float64(max(r.PromptTokens, minPromptTokens))
}

// cheapest returns the target with the lowest cost for a program that prefers targets
// in a given order and whose prompt costs missCost seconds at any but the first one.
func (f *Fleet) cheapest(order []*Target, missCost float64, now time.Time) *Target {
	var best *Target
	lowest := 0.0
	for rank, t := range f.preferred(order, missCost) {
		c := f.cost(t, now)
		if rank > 0 {
			c += missCost
		}
		if t.DataCentre != f.dataCentre {
			c += remoteCost
		}
		if best == nil || c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

// preferred returns the targets that are compared for a program, the one that has
// probably cached its prompt first: the first ones of all data centres, which are the
// same for all hosts, and the first one of the host's own data centre. The latter comes
// first if a prompt costs less to read than a remote target, since most turns of a
// program arrive in the same data centre.
func (f *Fleet) preferred(order []*Target, missCost float64) []*Target {
	preferred := order[:min(preferredTargets, len(order))]
	near := slices.IndexFunc(order, func(t *Target) bool { return t.DataCentre == f.dataCentre })
	if near <= 0 {
		return preferred
	}
	rest := slices.DeleteFunc(slices.Clone(preferred), func(t *Target) bool { return t == order[near] })
	if missCost > remoteCost {
		return append(rest, order[near])
	}
	return append([]*Target{order[near]}, rest...)
}

func targetID(t *Target) string { return t.ID }

// leastLoaded returns the target with the fewest requests of this host, those that failed at
// once held to be running for a while, after those that are slow or suspect. Ties go to the host's own data centre and then
// to the first target in an order that differs between hosts. At low load each
// host therefore uses few targets, which saves connections, and different hosts
// use different ones.
func (f *Fleet) leastLoaded(available []*Target, now time.Time) *Target {
	median := medianLatency(available)
	return slices.MinFunc(available, func(a, b *Target) int {
		return cmp.Or(
			compareBool(a.isSlow(now, median) || a.isSuspect(now), b.isSlow(now, median) || b.isSuspect(now)),
			cmp.Compare(a.load(now), b.load(now)),
			compareBool(a.DataCentre != f.dataCentre, b.DataCentre != f.dataCentre),
			cmp.Compare(f.sortKey(a), f.sortKey(b)),
		)
	})
}

// sortKey returns the sort key of a target in the host's own order.
func (f *Fleet) sortKey(t *Target) uint64 { return xxhash.Sum64String(t.ID) ^ f.seed }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// medianLatency returns the median of the targets' mean latencies, in seconds, or
// zero if none has answered. Targets that have not answered yet are left out: with
// their assumed latency included, the few targets that a host uses at low load
// would all count as slow.
func medianLatency(targets []*Target) float64 {
	latencies := make([]float64, 0, len(targets))
	for _, t := range targets {
		if t.latency > 0 {
			latencies = append(latencies, t.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

// Count returns the number of targets of a service that are not leaving.
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
