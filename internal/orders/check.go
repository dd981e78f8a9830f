package orders

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/core/config"
	core "yuccausher/internal/core/orders"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// runChecks checks the targets of this host periodically until ctx ends.
func (s *Service) runChecks(ctx context.Context) {
	for ctx.Err() == nil {
		tail.Sleep(ctx, s.Settings.Interval)
		if snapshot := s.Holder.Current(); snapshot != nil {
			s.startDueChecks(ctx, snapshot)
		}
	}
}

// startDueChecks starts a check of each target of this host that is due. A host
// handles the targets of which it is the preferred host.
func (s *Service) startDueChecks(ctx context.Context, snapshot *config.Snapshot) {
	hosts := s.candidateHosts()
	now := time.Now()
	mine := make(map[string]bool)
	for i := range snapshot.Document.Targets {
		t := &snapshot.Document.Targets[i]
		if t.Model == "" || preferredHost(t.Name, hosts) != s.self.Host {
			continue
		}
		mine[t.Name] = true
		if s.beginCheck(t.Name, now) {
			s.tasks.Go(func() { s.endCheck(t.Name, s.checkTarget(ctx, t.Name)) })
		}
	}
	s.removeUnassigned(mine)
}

// candidateHosts returns the hosts that can hold the lease of a target.
func (s *Service) candidateHosts() []string {
	var hosts []string
	for _, m := range s.Members.Table() {
		if m.State == port.MemberAlive || m.State == port.MemberSuspect {
			hosts = append(hosts, m.ID)
		}
	}
	return hosts
}

// preferredHost returns the preferred host of a target.
func preferredHost(target string, hosts []string) string {
	return partition.PreferredHost(uint32(xxhash.Sum64String(target)), hosts)
}

// beginCheck reports whether a target's check is due, and marks the target as busy if
// so.
func (s *Service) beginCheck(target string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.targets[target]
	if w == nil {
		// The random delay spreads the first checks of hosts that start together.
		w = &targetState{nextCheck: now.Add(rand.N(s.Settings.Interval))}
		s.targets[target] = w
	}
	if w.busy || now.Before(w.nextCheck) {
		return false
	}
	w.busy = true
	return true
}

// endCheck schedules the next check of a target after a pause with jitter.
func (s *Service) endCheck(target string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.targets[target]; w != nil {
		w.busy = false
		w.nextCheck = time.Now().Add(pause/2 + rand.N(pause))
	}
}

// removeUnassigned drops the targets that this host no longer handles.
func (s *Service) removeUnassigned(mine map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.targets {
		if !mine[name] && !w.busy {
			delete(s.targets, name)
		}
	}
}

// checkTarget takes one step towards a target's desired state and returns the pause
// before its next check.
func (s *Service) checkTarget(ctx context.Context, name string) time.Duration {
	snapshot := s.Holder.Current()
	t := snapshot.Target(name)
	if t == nil {
		return s.Settings.AssertInterval
	}
	want, ok := core.Desired(snapshot, t)
	if !ok {
		return s.Settings.AssertInterval
	}
	status, err := s.status(ctx, t)
	if err != nil || status.Leaving {
		return s.Settings.AssertInterval
	}
	needed := core.Diff(core.Reported(status), want)
	d := s.decide(name, needed)
	s.Metrics.Tagged(map[string]string{"step": string(d.Step)}).Counter("steps").Inc(1)
	return s.execute(ctx, t, status.Incarnation, d)
}

func (s *Service) decide(target string, needed []port.Order) core.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Decide(time.Now(), s.Settings.Rules, s.self, target, needed)
}

func (s *Service) status(ctx context.Context, t *config.Target) (port.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.CallTimeout)
	defer cancel()
	status, err := s.Engine.Status(ctx, portTarget(t))
	if err != nil {
		s.Metrics.Counter("status_failures").Inc(1)
	}
	return status, err
}

func portTarget(t *config.Target) port.Target {
	return port.Target{Name: t.Name, Address: t.Address, DataCentre: t.DataCentre, ChecksFencing: t.ChecksFencing}
}
