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

	// table is replaced as a whole by updateTable, which holds tableMu. Reads are
	// lock-free.
	table   atomic.Pointer[table]
	tableMu sync.Mutex

	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ port.Scheduler = (*Scheduler)(nil)

// New returns a scheduler. It can grant calls before Start, which begins to poll the
// targets' reports and the platform's list of targets.
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

// Start starts the background polling and returns. It never fails.
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

// Stop ends the background work and waits for it. Grants of calls in flight remain
// valid. It never fails.
func (s *Scheduler) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	s.log.Info("Stopped.")
	return nil
}

// current returns the table and the snapshot of the configuration in effect, or nil
// before the first configuration.
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

// updateTable builds and stores the table of a new configuration. The state of
// targets that remain in the configuration is kept.
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

// hostCount returns the number of hosts that share the targets, at least one. Suspect
// hosts count.
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

// lockedRand is a source of random numbers that is safe for concurrent use.
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

// split returns an independent source, which is not safe for concurrent use.
func (l *lockedRand) split() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.r.Uint64(), l.r.Uint64()))
}

// jitter returns d changed at random by up to the given fraction in either direction.
func (l *lockedRand) jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 + fraction*(2*l.float()-1)))
}
