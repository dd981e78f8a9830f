package sched

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// Scheduler implements port.Scheduler for one host.
type Scheduler struct {
	params         Params
	log            logr.Logger
	metrics        *metrics
	random         *lockedRand
	quarantine     *quarantine
	cacheLocations *cacheLocations
	pauses         *pauses
	lifetimes      *lifetimes
	distances      *distances

	// table is replaced whole; reads are lock-free.
	table   atomic.Pointer[table]
	tableMu sync.Mutex

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ port.Scheduler = (*Scheduler)(nil)

// New returns a scheduler. It grants calls at once; Start begins to follow the
// targets' reports and the platform's list.
func New(p Params) *Scheduler {
	if p.Metrics == nil {
		p.Metrics = tally.NoopScope
	}
	if p.Log.GetSink() == nil {
		p.Log = logr.Discard()
	}
	seed := p.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	s := &Scheduler{params: p, log: p.Log.WithName("sched")}
	s.metrics = newMetrics(p.Metrics.SubScope("sched"))
	s.random = newLockedRand(seed)
	s.quarantine = newQuarantine(p.OnQuarantine, p.OnCrash)
	s.cacheLocations = newCacheLocations()
	s.pauses = newPauses()
	s.lifetimes = newLifetimes()
	s.distances = newDistances(p.Self.DataCentre)
	s.table.Store(emptyTable())
	return s
}

// Start begins to follow the targets. It returns at once.
func (s *Scheduler) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.pollTargets(ctx) })
	if s.params.HostList != nil {
		s.done.Go(func() { s.pollList(ctx) })
	}
	s.log.Info("Started.")
	return nil
}

// Stop ends the background work. Calls in flight keep their grants.
func (s *Scheduler) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	s.log.Info("Stopped.")
	return nil
}

// current returns the table for the configuration in force, or nil before the
// first configuration.
func (s *Scheduler) current() (*table, *config.Snapshot) {
	snapshot := s.params.Config.Current()
	if snapshot == nil {
		return nil, nil
	}
	t := s.table.Load()
	if t.version != snapshot.Version {
		t = s.updateTable(snapshot)
	}
	return t, snapshot
}

// renew builds the table of a new configuration; what is known of targets
// that stay is kept.
func (s *Scheduler) updateTable(snapshot *config.Snapshot) *table {
	s.tableMu.Lock()
	defer s.tableMu.Unlock()
	old := s.table.Load()
	if old.version >= snapshot.Version {
		return old
	}
	t := s.buildTable(snapshot, old)
	s.table.Store(t)
	return t
}

// hosts returns how many hosts share the targets.
func (s *Scheduler) hostCount() int {
	if s.params.Members == nil {
		return 1
	}
	n := 0
	for _, m := range s.params.Members.Table() {
		if m.State == port.MemberAlive || m.State == port.MemberSuspect {
			n++
		}
	}
	return max(n, 1)
}

// lockedRand is a source of randomness for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

// split returns an independent source.
func (l *lockedRand) split() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.r.Uint64(), l.r.Uint64()))
}

// jitter returns d changed by up to a fraction of itself either way.
func (l *lockedRand) jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 + fraction*(2*l.float()-1)))
}
