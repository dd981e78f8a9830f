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

// scanPerOrganisation is how many of an organisation's calls are tried when the
// first ones wait for a particular target.
const scanPerOrganisation = 16

// pool is the group of targets of one model or service, with the calls that
// wait for them.
type pool struct {
	s   *Scheduler
	key poolKey

	mu      sync.Mutex
	queue   *admission.Queue
	entries admission.EntryRate
	shares  *admission.Shares
	policy  routing.Policy
	memory  routing.MemoryReserve
	speeds  routing.Speeds
	budget  *retry.Budget
	targets []*target
	byRoute map[*routing.Target]*target
	byName  map[string]*routing.Target
	subset  []*routing.Target
	// holders and request are used again by each decision.
	holders []routing.Holder
	request routing.Request
}

func newPool(s *Scheduler, key poolKey) *pool {
	p := &pool{s: s, key: key, budget: retry.NewBudget(), shares: admission.NewShares()}
	rank := admission.Due
	if s.params.Variant.FirstCome {
		rank = admission.Arrival
	}
	p.queue = admission.NewQueue(queueBound, rank)
	if policy := s.params.Variant.Policy; policy != nil {
		p.policy = policy(s.random.split())
	} else {
		p.policy = routing.NewPicker(s.random.split())
	}
	return p
}

// queued returns how many calls wait.
func (p *pool) queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

func (p *pool) setTargets(targets []*target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	p.byRoute = make(map[*routing.Target]*target, len(targets))
	p.byName = make(map[string]*routing.Target, len(targets))
	for _, t := range targets {
		p.byRoute[t.route] = t
		p.byName[t.route.Name] = t.route
	}
	p.choose()
	p.dispatch(time.Now())
}

// named returns the target of that name, or nil. The caller holds the lock.
func (p *pool) named(name string) *routing.Target { return p.byName[name] }

// holdersOf returns the targets that are expected to hold a program's cache.
func (p *pool) holdersOf(work port.Work, now time.Time) []routing.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.s.beliefs.holders(work, p, now, nil)
}

// target returns what is kept of a target, or nil.
func (p *pool) target(r *routing.Target) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byRoute[r]
}

// refresh follows a change of a target's health.
func (p *pool) refresh(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choose()
	p.dispatch(now)
}

// wake grants what can be granted now.
func (p *pool) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

// choose computes the subset again.
func (p *pool) choose() {
	routes := make([]*routing.Target, 0, len(p.targets))
	for _, t := range p.targets {
		routes = append(routes, t.route)
	}
	p.subset = routing.Subset(p.s.params.Self.ID, routes)
}

// entitled says whether the call's organisation uses less than its share of the
// targets' concurrency, of which this host counts its even part.
func (p *pool) entitled(i *admission.Item, now time.Time) bool {
	slots := 0
	for _, t := range p.subset {
		slots += t.Concurrency()
	}
	part := float64(slots) / float64(p.s.hosts())
	return p.shares.Entitled(now, i.Organisation, i.Weight, part, !i.ProgramStarted)
}

// slots returns how many calls this host may have at its targets.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.subset {
		n += t.Limit()
	}
	return n
}

// expectedWait returns how long a call is expected to wait for a target.
func (p *pool) expectedWait(i *admission.Item, now time.Time) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	entry := time.Duration(0)
	if i.IsDeferred() {
		entry = p.entries.Wait(now, min(p.queue.Ahead(i), p.queue.Deferred()))
	}
	slots := max(p.slots(), 1)
	seconds := p.speeds.ServiceTime() * float64(p.queue.Ahead(i)+1) / float64(slots)
	return max(entry, time.Duration(seconds*float64(time.Second)))
}

// dispatch grants waiting calls their targets while there is room.
func (p *pool) dispatch(now time.Time) {
	for p.dispatchOne(now) {
	}
}

func (p *pool) dispatchOne(now time.Time) bool {
	if p.queue.Len() == 0 || len(p.subset) == 0 {
		return false
	}
	var settled *waiter
	p.queue.Each(scanPerOrganisation, func(i *admission.Item) bool {
		w := i.Value.(*waiter)
		full := p.try(w, now)
		if w.grant == nil && w.refusal == nil {
			return !full
		}
		settled = w
		return false
	})
	if settled == nil {
		return false
	}
	p.settle(settled, now)
	return true
}

// settle takes a call that has its grant or refusal out of the queue.
func (p *pool) settle(w *waiter, now time.Time) {
	if w.grant != nil {
		p.queue.Take(w.item)
		p.shares.Begin(now, w.item.Organisation, w.item.Weight)
		if w.item.IsDeferred() {
			p.entries.Served(now, p.queue.Deferred())
		}
		p.s.metrics.granted.Inc(1)
	} else {
		p.queue.Remove(w.item)
	}
	close(w.ready)
}

// try looks for a target for one call. It returns true if there is no room
// for any call.
func (p *pool) try(w *waiter, now time.Time) (full bool) {
	verdict := p.s.poison.verdict(w.work.Fingerprint)
	if verdict == poison.Quarantined {
		w.refusal = poisonedFault()
		return false
	}
	suspect := verdict == poison.Suspect
	w.item.Entitled = p.entitled(w.item, now)
	slot := routing.Slot{Suspect: suspect, Entitled: w.item.Entitled}
	c := p.decide(w, now, slot)
	if c.Target == nil {
		return !suspect && !w.item.IsDeferred() && !slot.Entitled
	}
	if c.ShouldWait {
		p.hold(w, now)
		p.s.metrics.held.Inc(1)
		return false
	}
	if !p.s.poison.begin(w.work.Fingerprint, c.Target.Name) {
		return false
	}
	if !c.Target.Begin(now, slot) {
		p.s.poison.end(w.work.Fingerprint, c.Target.Name, false)
		return false
	}
	w.grant = newGrant(p, w, c, slot, now)
	return false
}

// hold lets a call wait for a target that has its prefix, for as long as it
// would take to build the prefix again.
func (p *pool) hold(w *waiter, now time.Time) {
	if !w.patientTill.IsZero() {
		return
	}
	patience := p.patience(w)
	w.patientTill = now.Add(patience)
	time.AfterFunc(patience, func() { p.wake(time.Now()) })
}

// decide chooses a target for one call.
func (p *pool) decide(w *waiter, now time.Time, slot routing.Slot) routing.Choice {
	p.holders = p.s.beliefs.holders(w.work, p, now, p.holders[:0])
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
		Distance:     p.s.dists.to,
		Slot:         slot,
		Footprint:    w.footprint,
		NewProgram:   w.item.IsDeferred(),
		CanWait:      w.patientTill.IsZero() || now.Before(w.patientTill),
	}
	r.MemoryReserve = p.memory.Share()
	if p.isModel() {
		r.PrefillRate = p.speeds.PrefillRate()
	}
	return r
}
