package quarantine

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/fault"
	"yuccausher/internal/tail"
	"yuccausher/internal/upstream"
)

const (
	// probeDelay is the time between an interruption and the probe of its target. A
	// process that ends has closed its port by then.
	probeDelay = 50 * time.Millisecond
	// probeTimeout limits a background probe.
	probeTimeout = time.Second
	// syncProbeTimeout limits a probe that a request waits for. A closed port refuses
	// connections at once.
	syncProbeTimeout = 50 * time.Millisecond
	// minSettlePause and maxSettlePause limit the time between two examinations of a target
	// of which no host can tell whether it has crashed.
	minSettlePause = 100 * time.Millisecond
	maxSettlePause = time.Second
)

// stateOf returns what the result of a probe shows.
func stateOf(err error) poison.State {
	var inconclusive *InconclusiveError
	switch {
	case err == nil:
		return poison.Alive
	case errors.As(err, &inconclusive), errors.Is(err, context.Canceled):
		return poison.Unknown
	case errors.Is(err, syscall.ECONNREFUSED):
		return poison.Refused
	}
	return poison.Silent
}

// findingOf returns what the result of a probe shows now.
func findingOf(err error) poison.Finding {
	return poison.Finding{State: stateOf(err), SeenAt: time.Now().UnixNano()}
}

// probeAfter records an interruption that has just happened and probes the target.
func (s *Service) probeAfter(ctx context.Context, target upstream.Target, b interruption) (hasCrashed, isOutOfReach bool) {
	b.at = time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, syncProbeTimeout)
	err := s.probe(probeCtx, target)
	cancel()
	f := findingOf(err)
	isOutOfReach = f.State == poison.Unknown
	if f.State == poison.Unknown || f.State == poison.Refused {
		ctx, cancel := context.WithTimeout(ctx, syncAskTimeout)
		other, cause := s.ask(ctx, askConcurrency, target, []interruption{b})
		cancel()
		f, err = decide(f, err, other, cause)
	}
	b.isInconclusive = f.State == poison.Unknown
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInterruption(target, b)
	if next, ok := s.markIfReplaced(target); ok {
		return b.isCrashBefore(next.StartedAt), isOutOfReach
	}
	switch f.State {
	case poison.Refused, poison.Replaced:
		s.settle(target, f, err, b.at)
		return f.State == poison.Refused || b.isCrashBefore(f.NextRun), isOutOfReach
	}
	s.startSettling(target)
	return false, isOutOfReach
}

// decide returns the finding of this host or that of other hosts. A host may have lost its path to
// the target alone, so that one that reaches it is right.
func decide(own poison.Finding, err error, other poison.Finding, cause error) (poison.Finding, error) {
	if own.State == poison.Unknown || other.State.IsCertain() {
		return other, cause
	}
	return own, err
}

// startSettling examines a target in the background until its interruptions are settled, unless
// it is being examined. The caller holds the lock.
func (s *Service) startSettling(target upstream.Target) {
	if !s.settling[target] && s.ctx.Err() == nil {
		s.settling[target] = true
		s.done.Go(func() { s.examineUntilSettled(target) })
	}
}

// examineUntilSettled examines a target until its interruptions are settled or have expired.
func (s *Service) examineUntilSettled(target upstream.Target) {
	tail.Sleep(s.ctx, probeDelay)
	isFirst := true
	for pause := minSettlePause; !s.examine(target, isFirst); pause = min(2*pause, maxSettlePause) {
		tail.Sleep(s.ctx, pause)
		isFirst = false
	}
}

// examine finds out whether a target has crashed, by a probe and from other hosts. It returns
// false if interruptions are left.
func (s *Service) examine(target upstream.Target, isFirst bool) bool {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	err := s.probe(ctx, target)
	cancel()
	f, cause := findingOf(err), err
	if f.State != poison.Alive {
		f, cause = s.examineWithOthers(target, f, err, isFirst)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() == nil {
		s.settle(target, f, cause, begun)
		s.pruneInterruptions()
	}
	isSettled := s.ctx.Err() != nil || len(s.unsettledAt(target)) == 0
	if isSettled {
		delete(s.settling, target)
	}
	return isSettled
}

// examineWithOthers asks other hosts about a target that this host has not reached.
func (s *Service) examineWithOthers(target upstream.Target, own poison.Finding, err error, isFirst bool) (poison.Finding, error) {
	concurrency := askConcurrency
	switch own.State {
	case poison.Unknown:
		s.logInconclusive(target, err)
	case poison.Silent:
		concurrency = askSilentConcurrency
	}
	s.mu.Lock()
	list := s.unsettledAt(target)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, askTotalTimeout)
	other, cause := s.ask(ctx, concurrency, target, list)
	cancel()
	f, cause := decide(own, err, other, cause)
	switch {
	case f.State != poison.Silent:
	case own.State == poison.Unknown && isFirst:
		// A single connection that is late shows nothing.
		f.State = poison.Unknown
	case !slices.ContainsFunc(list, func(b interruption) bool { return !b.isReported }):
		// The host that has reported the interruptions decides, on what several hosts have found.
		f.State = poison.Unknown
	}
	return f, cause
}

// settle applies a finding to the interruptions at a target until a time. cause is why the
// finding is not Alive. The caller holds the lock.
func (s *Service) settle(target upstream.Target, f poison.Finding, cause error, begun time.Time) {
	switch f.State {
	case poison.Unknown:
		for i, b := range s.interruptions[target] {
			s.interruptions[target][i].isInconclusive = b.isInconclusive || !b.at.After(begun)
		}
	case poison.Alive:
		s.foundAlive(target, begun)
	case poison.Refused, poison.Silent:
		s.markCrashed(target, cause, f.SeenAt, func(b interruption) bool { return b.isCrash(f.State) })
	case poison.Replaced:
		s.markCrashed(target, cause, f.SeenAt, func(b interruption) bool { return b.isCrashBefore(f.NextRun) })
	}
}

// foundAlive records that a target accepted a connection after interruptions. The
// caller holds the lock.
func (s *Service) foundAlive(target upstream.Target, at time.Time) {
	contents := s.markAlive(target, at)
	if len(contents) == 0 {
		return
	}
	s.metrics.countProbe("lives")
	s.log.Info("Target accepts connections after requests were interrupted.", "target", target.ID, "started_at", target.StartedAt,
		"requests", len(contents), "contents", formatFingerprints(contents), "look_ms", time.Since(at).Milliseconds())
}

// logInconclusive reports a probe that does not show whether its target is alive.
func (s *Service) logInconclusive(target upstream.Target, err error) {
	s.metrics.countProbe("inconclusive")
	s.mu.Lock()
	contents := contentsOf(s.unsettledAt(target))
	s.mu.Unlock()
	s.log.Info("Target can't be probed after requests were interrupted.", "target", target.ID, "started_at", target.StartedAt,
		"contents", formatFingerprints(contents), "cause", fault.Text(err))
}

// Examine finds out whether a target has crashed, on behalf of a host that can't tell. A crash
// that is certain is counted here as well, so that it does not depend on that host.
func (s *Service) Examine(ctx context.Context, host string, r poison.Report) poison.Finding {
	begun := time.Now()
	f, target := s.examineFor(ctx, r)
	s.metrics.scope.Tagged(map[string]string{"state": f.State.String()}).Counter("examined").Inc(1)
	s.log.Info("Target was examined for another host.", "host", host, "target", r.Target, "started_at", r.Run, "requests", len(r.Interruptions),
		"address", target.Address, "state", f.State.String(), "ms", time.Since(begun).Milliseconds())
	return f
}

func (s *Service) examineFor(ctx context.Context, r poison.Report) (poison.Finding, upstream.Target) {
	asked := upstream.Target{ID: r.Target, StartedAt: r.Run}
	s.mu.Lock()
	latest, isKnown := s.latestRuns.Get(r.Target)
	if isKnown && latest.ID == r.Target && latest.StartedAt != r.Run && isReplaced(asked, latest) {
		f := poison.Finding{State: poison.Replaced, NextTarget: latest.ID, NextRun: latest.StartedAt, SeenAt: time.Now().UnixNano()}
		s.addReported(asked, r.Interruptions)
		s.settle(asked, f, &ReplacedError{By: latest.ID}, time.Now())
		s.mu.Unlock()
		return f, latest
	}
	s.mu.Unlock()
	if !isKnown || latest.ID != r.Target || latest.StartedAt != r.Run {
		return poison.Finding{}, upstream.Target{}
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	err := s.probe(ctx, latest)
	cancel()
	f := findingOf(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addReported(latest, r.Interruptions)
	switch f.State {
	case poison.Silent:
		// The host that asks decides on the findings of several hosts. If it can't, the next run
		// of the target shows the crash.
	case poison.Unknown:
		s.settle(latest, f, err, begun)
		s.startSettling(latest)
	default:
		s.settle(latest, f, err, begun)
	}
	return f, latest
}
