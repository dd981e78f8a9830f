package sched

import (
	"sync"
	"time"

	"yuccausher/internal/core/admission"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/core/retry"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// scanPerOrganisation is the number of an organisation's calls that one dispatch
// considers, since the first ones may wait for a particular target.
const scanPerOrganisation = 16

// pool is the group of targets of one model or service, with the queue of the calls
// that wait for them.
type pool struct {
	scheduler *Scheduler
	key       poolKey

	mu             sync.Mutex
	queue          *admission.Queue
	entryRate      admission.EntryRate
	shares         *admission.Shares
	policy         routing.Policy
	memoryReserve  routing.MemoryReserve
	speeds         routing.Speeds
	budget         *retry.Budget
	targets        []*target
	targetsByRoute map[*routing.Target]*target
	routesByName   map[string]*routing.Target
	subset         []*routing.Target
	// holders and request are reused by each decision to save allocations.
	holders []routing.Holder
	request routing.Request
}

func newPool(s *Scheduler, key poolKey) *pool {
	p := &pool{scheduler: s, key: key, budget: retry.NewBudget(), shares: admission.NewShares()}
	rank := admission.Due
	if s.params.Variant.FirstCome {
		rank = admission.Arrival
	}
	p.queue = admission.NewQueue(maxQueuedCalls, rank)
	if policy := s.params.Variant.Policy; policy != nil {
		p.policy = policy(s.random.split())
	} else {
		p.policy = routing.NewPicker(s.random.split())
	}
	return p
}

// queueLength returns the number of waiting calls.
func (p *pool) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

func (p *pool) setTargets(targets []*target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	p.targetsByRoute = make(map[*routing.Target]*target, len(targets))
	p.routesByName = make(map[string]*routing.Target, len(targets))
	for _, t := range targets {
		p.targetsByRoute[t.route] = t
		p.routesByName[t.route.Name] = t.route
	}
	p.updateSubset()
	p.dispatch(time.Now())
}

// routeNamed returns the target of the given name, or nil. The caller holds the lock.
func (p *pool) routeNamed(name string) *routing.Target { return p.routesByName[name] }

// holdersOf returns the targets that probably hold a program's cache.
func (p *pool) holdersOf(work port.Work, now time.Time) []routing.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.cacheLocations.holders(work, p, now, nil)
}

// targetOf returns the scheduler's state of a target, or nil.
func (p *pool) targetOf(r *routing.Target) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetsByRoute[r]
}

// refresh updates the subset and dispatches after a change of a target's health.
func (p *pool) refresh(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateSubset()
	p.dispatch(now)
}

// wake grants the waiting calls that can be granted.
func (p *pool) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

// updateSubset recomputes the subset of targets that this host uses. The caller holds
// the lock.
func (p *pool) updateSubset() {
	routes := make([]*routing.Target, 0, len(p.targets))
	for _, t := range p.targets {
		routes = append(routes, t.route)
	}
	p.subset = routing.Subset(p.scheduler.params.Self.ID, routes)
}

// isEntitled reports whether the call's organisation uses less than its share of the
// targets' concurrency, of which each host accounts for an equal part.
func (p *pool) isEntitled(i *admission.Item, now time.Time) bool {
	slots := 0
	for _, t := range p.subset {
		slots += t.Concurrency()
	}
	part := float64(slots) / float64(p.scheduler.hostCount())
	return p.shares.Entitled(now, i.Organisation, i.Weight, part, !i.ProgramStarted)
}

// slotLimit returns the number of calls that this host may have in flight at its
// targets.
func (p *pool) slotLimit() int {
	n := 0
	for _, t := range p.subset {
		n += t.Limit()
	}
	return n
}

// expectedWait returns the time that a call is expected to wait for a target.
func (p *pool) expectedWait(i *admission.Item, now time.Time) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	entry := time.Duration(0)
	if i.IsDeferred() {
		entry = p.entryRate.Wait(now, min(p.queue.Ahead(i), p.queue.Deferred()))
	}
	slots := max(p.slotLimit(), 1)
	seconds := p.speeds.ServiceTime() * float64(p.queue.Ahead(i)+1) / float64(slots)
	return max(entry, time.Duration(seconds*float64(time.Second)))
}

// dispatch grants waiting calls while targets have free slots. The caller holds the
// lock.
func (p *pool) dispatch(now time.Time) {
	for p.dispatchOne(now) {
	}
}

func (p *pool) dispatchOne(now time.Time) bool {
	if p.queue.Len() == 0 || len(p.subset) == 0 {
		return false
	}
	var decided *waiter
	p.queue.Each(scanPerOrganisation, func(i *admission.Item) bool {
		w := i.Value.(*waiter)
		full := p.tryGrant(w, now)
		if w.grant == nil && w.refusal == nil {
			return !full
		}
		decided = w
		return false
	})
	if decided == nil {
		return false
	}
	p.complete(decided, now)
	return true
}

// complete removes a call that has a grant or a refusal from the queue and wakes its
// goroutine.
func (p *pool) complete(w *waiter, now time.Time) {
	if w.grant != nil {
		p.queue.Take(w.item)
		p.shares.Begin(now, w.item.Organisation, w.item.Weight)
		if w.item.IsDeferred() {
			p.entryRate.Served(now, p.queue.Deferred())
		}
		p.scheduler.metrics.granted.Inc(1)
	} else {
		p.queue.Remove(w.item)
	}
	close(w.ready)
}

// tryGrant sets the grant or the refusal of one call if it can. It returns true if no
// other call can be granted a target either.
func (p *pool) tryGrant(w *waiter, now time.Time) (full bool) {
	verdict := p.scheduler.quarantine.verdict(w.work.Fingerprint)
	if verdict == poison.Quarantined {
		w.refusal = poisonedFault()
		return false
	}
	suspect := verdict == poison.Suspect
	w.item.Entitled = p.isEntitled(w.item, now)
	slot := routing.Slot{Suspect: suspect, Entitled: w.item.Entitled}
	c := p.decide(w, now, slot)
	if c.Target == nil {
		return !suspect && !w.item.IsDeferred() && !slot.Entitled
	}
	if c.ShouldWait {
		p.startPrefixWait(w, now)
		p.scheduler.metrics.heldForPrefix.Inc(1)
		return false
	}
	if !p.scheduler.quarantine.begin(w.work.Fingerprint, c.Target.Name) {
		return false
	}
	if !c.Target.Begin(now, slot) {
		p.scheduler.quarantine.end(w.work.Fingerprint, c.Target.Name, false)
		return false
	}
	w.grant = newGrant(p, w, c, slot, now)
	return false
}

// startPrefixWait lets a call wait for a target that holds its prefix, for at most the
// time that recomputing the prefix would take. It does nothing if the call has waited
// already.
func (p *pool) startPrefixWait(w *waiter, now time.Time) {
	if !w.prefixWaitEnd.IsZero() {
		return
	}
	maxWait := p.prefixWait(w)
	w.prefixWaitEnd = now.Add(maxWait)
	time.AfterFunc(maxWait, func() { p.wake(time.Now()) })
}

// decide chooses a target for one call. The caller holds the lock.
func (p *pool) decide(w *waiter, now time.Time, slot routing.Slot) routing.Choice {
	p.holders = p.scheduler.cacheLocations.holders(w.work, p, now, p.holders[:0])
	p.request = p.newRequest(w, now, slot)
	return p.policy.Pick(&p.request, p.subset, p.holders)
}

func (p *pool) newRequest(w *waiter, now time.Time, slot routing.Slot) routing.Request {
	r := routing.Request{
		Program:      w.work.ProgramID,
		PromptTokens: float64(w.work.PromptTokens),
		ServiceTime:  p.speeds.ServiceTime(),
		DecodeTime:   p.speeds.DecodeTime(),
		CacheFactor:  w.cacheFactor,
		Distance:     p.scheduler.distances.to,
		Slot:         slot,
		Footprint:    w.footprint,
		NewProgram:   w.item.IsDeferred(),
		CanWait:      w.prefixWaitEnd.IsZero() || now.Before(w.prefixWaitEnd),
	}
	r.MemoryReserve = p.memoryReserve.Share()
	if p.isModel() {
		r.PrefillRate = p.speeds.PrefillRate()
	}
	return r
}
