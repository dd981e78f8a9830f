package sched

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/limit"
	"yuccausher/internal/core/routing"
	"yuccausher/internal/port"
)

// table holds the targets and pools of one configuration. It is immutable; its targets
// and pools are not.
type table struct {
	version int64
	targets map[string]*target
	// ordered holds the targets in the order of the configuration document.
	ordered []*target
	pools   map[poolKey]*pool
}

type poolKey struct {
	kind port.Kind
	name string
}

func emptyTable() *table {
	return &table{targets: map[string]*target{}, pools: map[poolKey]*pool{}}
}

// target is the scheduler's state of one target. It outlives a change of configuration
// that keeps the target's address.
type target struct {
	route *routing.Target
	// spec is the target's entry in the latest configuration.
	spec atomic.Pointer[config.Target]
	// report is the latest report, or nil before the first.
	report atomic.Pointer[port.EngineStatus]

	mu        sync.Mutex
	limiter   *limit.Limiter
	health    routing.Health
	polledAt  time.Time
	usedAt    time.Time
	polling   bool
	lastEvent uint64
}

func (t *target) port() port.Target {
	spec := t.spec.Load()
	return port.Target{
		Name:          spec.Name,
		Address:       spec.Address,
		DataCentre:    spec.DataCentre,
		ChecksFencing: spec.ChecksFencing,
	}
}

func (t *target) isEngine() bool { return t.spec.Load().Model != "" }

func (s *Scheduler) buildTable(snapshot *config.Snapshot, old *table) *table {
	t := emptyTable()
	t.version = snapshot.Version
	for i := range snapshot.Document.Targets {
		spec := &snapshot.Document.Targets[i]
		kept := s.target(spec, old)
		t.targets[spec.Name] = kept
		t.ordered = append(t.ordered, kept)
	}
	for _, m := range snapshot.Document.Models {
		key := poolKey{port.KindModel, m.Name}
		t.pools[key] = s.pool(key, t, old, snapshot.ModelTargets(m.Name))
	}
	for _, v := range snapshot.Document.Services {
		key := poolKey{port.KindService, v.Name}
		t.pools[key] = s.pool(key, t, old, snapshot.ServiceTargets(v.Name))
	}
	return t
}

func (s *Scheduler) target(spec *config.Target, old *table) *target {
	kept := old.targets[spec.Name]
	if kept != nil && kept.spec.Load().Address == spec.Address {
		kept.spec.Store(spec)
		kept.route.SetConcurrency(spec.Concurrency)
		kept.mu.Lock()
		kept.limiter.SetMax(spec.Concurrency)
		s.publishLimit(kept)
		kept.mu.Unlock()
		return kept
	}
	t := &target{limiter: limit.New(spec.Concurrency, s.hostCount())}
	local := spec.DataCentre == s.params.Self.DataCentre
	t.route = routing.NewTarget(spec.Name, spec.DataCentre, local, spec.Concurrency, t.limiter.Limit())
	t.spec.Store(spec)
	s.publishLimit(t)
	return t
}

// publishLimit stores the limiter's limit where decisions read it. The caller holds the
// target's lock or is its only user.
func (s *Scheduler) publishLimit(t *target) {
	if s.params.Variant.Unlimited {
		t.route.SetLimit(unlimited)
		return
	}
	t.route.SetLimit(t.limiter.Limit())
}

// unlimited is a limit that is never reached.
const unlimited = 1 << 20

func (s *Scheduler) pool(key poolKey, t, old *table, specs []*config.Target) *pool {
	targets := make([]*target, 0, len(specs))
	for _, spec := range specs {
		targets = append(targets, t.targets[spec.Name])
	}
	p := old.pools[key]
	if p == nil {
		p = newPool(s, key)
	}
	p.setTargets(targets)
	return p
}

// Targets returns this host's view of the targets, in the order of the configuration,
// or nil without a configuration.
func (s *Scheduler) Targets() []port.TargetView {
	t, _ := s.current()
	if t == nil {
		return nil
	}
	views := make([]port.TargetView, 0, len(t.ordered))
	for _, one := range t.ordered {
		views = append(views, one.view())
	}
	return views
}

func (t *target) view() port.TargetView {
	spec := t.spec.Load()
	v := port.TargetView{
		Name:       spec.Name,
		Address:    spec.Address,
		DataCentre: spec.DataCentre,
		Model:      spec.Model,
		Services:   slices.Clone(spec.Services),
		State:      t.route.State().String(),
		Running:    t.route.Running(),
		Limit:      t.route.Limit(),
	}
	if r := t.report.Load(); r != nil {
		v.ReportedRunning = r.Running
		v.ReportedQueued = r.Queued
		v.KVTokens = r.KVTokens
	}
	return v
}
