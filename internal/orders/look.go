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

// look goes over the targets of this host from time to time.
func (s *Service) look(ctx context.Context) {
	for ctx.Err() == nil {
		tail.Sleep(ctx, s.Settings.Interval)
		if snapshot := s.Holder.Current(); snapshot != nil {
			s.lookAt(ctx, snapshot)
		}
	}
}

// lookAt begins to tend each target of this host whose time has come.
func (s *Service) lookAt(ctx context.Context, snapshot *config.Snapshot) {
	hosts := s.candidates()
	now := time.Now()
	mine := make(map[string]bool)
	for i := range snapshot.Document.Targets {
		t := &snapshot.Document.Targets[i]
		if t.Model == "" || first(t.Name, hosts) != s.self.Host {
			continue
		}
		mine[t.Name] = true
		if s.begin(t.Name, now) {
			s.tasks.Go(func() { s.end(t.Name, s.tend(ctx, t.Name)) })
		}
	}
	s.forget(mine)
}

// candidates returns the hosts that may be stewards.
func (s *Service) candidates() []string {
	var hosts []string
	for _, m := range s.Members.Table() {
		if m.State == port.MemberAlive || m.State == port.MemberSuspect {
			hosts = append(hosts, m.ID)
		}
	}
	return hosts
}

// first returns the host that comes first for a target.
func first(target string, hosts []string) string {
	return partition.PreferredHost(uint32(xxhash.Sum64String(target)), hosts)
}

// begin says whether a target's time has come, and marks it as busy.
func (s *Service) begin(target string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watched[target]
	if w == nil {
		// Hosts that start together spread their first looks.
		w = &watch{next: now.Add(rand.N(s.Settings.Interval))}
		s.watched[target] = w
	}
	if w.busy || now.Before(w.next) {
		return false
	}
	w.busy = true
	return true
}

// end sets when a target is looked at again.
func (s *Service) end(target string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.watched[target]; w != nil {
		w.busy = false
		w.next = time.Now().Add(pause/2 + rand.N(pause))
	}
}

// forget drops the targets that are no longer this host's.
func (s *Service) forget(mine map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.watched {
		if !mine[name] && !w.busy {
			delete(s.watched, name)
		}
	}
}

// tend makes one step with a target and returns the pause until the next.
func (s *Service) tend(ctx context.Context, name string) time.Duration {
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
	return s.act(ctx, t, status.Incarnation, d)
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
