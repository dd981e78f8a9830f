package spending

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

// A partition's home is the first host of its order. Other hosts ask it for
// tokens before they claim some themselves. Its claims then serve the turns of a
// program at all hosts, and as it alone appends to the partition, it knows what
// the partition holds without reading it. Nothing depends on the home: hosts
// that see different homes, or none, claim in the log.

const (
	// homeTimeout is how long an answer may take before the home is asked
	// whether it is there: some times the 10 ms of a claim through it.
	preferredTimeout = 40 * time.Millisecond
	// suspectChecks is after how many such questions the log is probed: after
	// 200 ms, when a slow append should have been done.
	checksBeforeSuspect = 3
	// firstShun and maxShun bound for how long a home that did not answer is
	// left alone. A host that is gone is asked for about 25 s, until its record
	// is.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 8 * time.Second
)

// errHomeAway says that the home does not reach the log, or is leaving.
var errPreferredUnavailable = errors.New("home does not reach the log")

// shuns are the homes that are not asked for some time.
type exclusions struct {
	mu     sync.Mutex
	byHost map[exclusionKey]exclusion
}

// shunned is a host, or one partition at it.
type exclusionKey struct {
	host string
	part int
}

// wholeHost stands for all partitions of a host.
const allPartitions = -1

type exclusion struct {
	until    time.Time
	duration time.Duration
}

// isShunned says whether a host is not to be asked for a partition now.
func (s *exclusions) isExcluded(host string, part int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byHost[exclusionKey{host, allPartitions}].until) || now.Before(s.byHost[exclusionKey{host, part}].until)
}

// add leaves a host or a partition at it alone. most bounds for how long; each
// time is twice the one before.
func (s *exclusions) add(host string, part int, most time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byHost == nil {
		s.byHost = make(map[exclusionKey]exclusion)
	}
	key := exclusionKey{host, part}
	pause := min(max(2*s.byHost[key].duration, minExclusion), most)
	s.byHost[key] = exclusion{until: now.Add(pause), duration: pause}
	return pause
}

// remove notes that a host has answered for a partition.
func (s *exclusions) remove(host string, part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHost, exclusionKey{host, allPartitions})
	delete(s.byHost, exclusionKey{host, part})
}

// reserveAtHome asks the program's home. It returns false if the home can't
// tell, so that this host has to claim.
func (s *Service) reserveAtPreferred(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error, bool) {
	home, isOther := s.preferredHost(l.partition.Part)
	if !isOther || s.exclusions.isExcluded(home, l.partition.Part, time.Now()) {
		return nil, nil, false
	}
	b, answer, err := s.askWhileAlive(ctx, home, r)
	if ctx.Err() != nil {
		return nil, unknownBudget(r.Program, ctx.Err()), true
	}
	part := l.partition.Part
	if err != nil || answer.Decision == port.LendUnavailable {
		scope, most := allPartitions, maxExclusion
		if err == nil {
			scope, most, err = part, minExclusion, errPreferredUnavailable
		}
		pause := s.exclusions.add(home, scope, most, time.Now())
		s.metrics.preferredFailures.Inc(1)
		s.log.Info("Home is left alone.", "host", home, "partition", part, "for", pause.String(), "cause", err.Error())
		return nil, nil, false
	}
	s.exclusions.remove(home, part)
	switch answer.Decision {
	case port.LendBusy:
		return nil, nil, false
	case port.LendSpent:
		l.markStopped(r.Program)
	}
	g, err := s.acceptDecision(r, b, answer)
	return g, err, true
}

// lateAnswer is an answer that may come after its asker has gone on.
type askResult struct {
	reservation *borrowed
	answer      port.LendAnswer
	err         error
}

// askPatiently asks a host and waits for as long as it is there: it may have to
// claim in a log that is slow.
func (s *Service) askWhileAlive(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.MaxWait = maxClaimWait
	answered := make(chan askResult, 1)
	s.done.Go(func() {
		b, answer, err := s.reserveAt(askCtx, host, r)
		answered <- askResult{reservation: b, answer: answer, err: err}
	})
	timer := time.NewTimer(preferredTimeout)
	defer timer.Stop()
	for checks := 1; ; checks++ {
		select {
		case a := <-answered:
			return a.reservation, a.answer, a.err
		case <-ctx.Done():
			s.releaseLateGrant(answered)
			return nil, port.LendAnswer{}, ctx.Err()
		case <-timer.C:
		}
		if checks == checksBeforeSuspect {
			// The log may be away; this host finds out while the other does.
			s.startedLedger(s.partitionOf(r.Program)).availability.suspect()
		}
		if err := s.checkAlive(ctx, host); err != nil {
			s.releaseLateGrant(answered)
			return nil, port.LendAnswer{}, err
		}
		timer.Reset(2 * preferredTimeout)
	}
}

// isThere returns an error if a host does not answer at once.
func (s *Service) checkAlive(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, preferredTimeout)
	defer cancel()
	return s.peers.Note(ctx, host, port.BudgetNote{})
}

// dropAnswer returns a reservation that comes too late to be used.
func (s *Service) releaseLateGrant(answered <-chan askResult) {
	s.done.Go(func() {
		a := <-answered
		if a.err == nil && a.answer.Decision == port.LendGranted {
			a.reservation.End()
		}
	})
}
