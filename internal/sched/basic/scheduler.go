// Package basic provides a round-robin scheduler without queues or limits, for tests and
// initial setups.
package basic

import (
	"context"
	"sync/atomic"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

const (
	maxAttempts        = 3
	retryPauseStep     = 50 * time.Millisecond
	noTargetRetryAfter = time.Second
)

// Scheduler implements port.Scheduler over the targets of the configuration.
type Scheduler struct {
	config *config.Holder
	next   atomic.Uint64
}

// New returns a scheduler that reads its targets from holder.
func New(holder *config.Holder) *Scheduler { return &Scheduler{config: holder} }

// Acquire returns a grant of the next target without waiting, or a no_target fault.
func (s *Scheduler) Acquire(ctx context.Context, work port.Work) (port.Grant, error) {
	targets := s.targets(work)
	if len(targets) == 0 {
		f := fault.New(fault.NoTarget, fault.NotRun, "no target serves %s", work.Name)
		return nil, f.WithRetryAfter(noTargetRetryAfter)
	}
	t := targets[s.next.Add(1)%uint64(len(targets))]
	return grant{target: port.Target{
		Name:          t.Name,
		Address:       t.Address,
		DataCentre:    t.DataCentre,
		ChecksFencing: t.ChecksFencing,
	}}, nil
}

func (s *Scheduler) targets(work port.Work) []*config.Target {
	snapshot := s.config.Current()
	if snapshot == nil {
		return nil
	}
	if work.Kind == port.KindModel {
		return snapshot.ModelTargets(work.Name)
	}
	return snapshot.ServiceTargets(work.Name)
}

// Retry allows up to maxAttempts attempts of work that did not run or is idempotent.
func (s *Scheduler) Retry(work port.Work, attempt int, err *port.TargetError) (time.Duration, bool) {
	if attempt >= maxAttempts || err.Failure == port.FailureRejected {
		return 0, false
	}
	return time.Duration(attempt) * retryPauseStep, work.Idempotent || err.NotRun()
}

// ProgramIdle does nothing: this scheduler tracks no caches.
func (s *Scheduler) ProgramIdle(port.Work) {}

// ProgramEnded does nothing: this scheduler tracks no caches.
func (s *Scheduler) ProgramEnded(string, []string) {}

type grant struct{ target port.Target }

func (g grant) Target() port.Target { return g.target }

func (g grant) Priority() int { return 0 }

func (g grant) Done(port.Result) {}
