package spending

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

// The preferred host of a partition is the first in its order. Other hosts ask it for
// tokens before they claim any themselves. Its claims then serve the turns of a
// program at all hosts. As long as it is the only host that appends to the partition,
// it knows the contents without reading them. Correctness does not depend on it:
// hosts that see different preferred hosts, or none, claim in the log.

const (
	// preferredTimeout is how long an answer may take before the asking host checks
	// whether the preferred host is alive. A claim through the preferred host takes
	// 10 ms.
	preferredTimeout = 40 * time.Millisecond
	// checksBeforeSuspect is the number of such checks after which the asking host
	// probes the log: at 200 ms, when even a slow append should be done.
	checksBeforeSuspect = 3
	// minExclusion and maxExclusion bound how long a preferred host that did not
	// answer is not asked again. A removed host stays in the list of hosts for about
	// 25 s, until its record expires.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 8 * time.Second
)

// errPreferredUnavailable says that the preferred host does not reach the log or is
// shutting down.
var errPreferredUnavailable = errors.New("preferred host does not reach the log")

// exclusions holds the preferred hosts that are temporarily not asked.
type exclusions struct {
	mu     sync.Mutex
	byHost map[exclusionKey]exclusion
}

// exclusionKey is a host and a partition, or allPartitions.
type exclusionKey struct {
	host string
	part int
}

// allPartitions excludes a host for every partition.
const allPartitions = -1

// exclusion says until when a host is not asked. duration is its length, from which
// the next one is computed.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

// isExcluded reports whether a host is not to be asked for a partition now.
func (e *exclusions) isExcluded(host string, part int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.byHost[exclusionKey{host, allPartitions}].until) || now.Before(e.byHost[exclusionKey{host, part}].until)
}

// add excludes a host for one partition or for allPartitions, and returns for how
// long. Each exclusion is twice as long as the previous one, up to limit.
func (e *exclusions) add(host string, part int, limit time.Duration, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byHost == nil {
		e.byHost = make(map[exclusionKey]exclusion)
	}
	key := exclusionKey{host, part}
	pause := min(max(2*e.byHost[key].duration, minExclusion), limit)
	e.byHost[key] = exclusion{until: now.Add(pause), duration: pause}
	return pause
}

// remove ends the exclusions of a host that has answered for a partition.
func (e *exclusions) remove(host string, part int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.byHost, exclusionKey{host, allPartitions})
	delete(e.byHost, exclusionKey{host, part})
}

// reserveAtPreferred asks the preferred host of the program's partition, or the next of
// its readers if that one is excluded or could not decide. It returns false if this host
// has to claim by itself: it is the next one in the order, or none of the readers could
// decide. Few hosts then read the partition, also while many hosts do not answer.
func (s *Service) reserveAtPreferred(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error, bool) {
	order := s.hostOrder(l.partition.Part)
	for _, host := range order[:min(readerCount, len(order))] {
		if host == s.peers.Self() {
			return nil, nil, false
		}
		if s.exclusions.isExcluded(host, l.partition.Part, time.Now()) {
			continue
		}
		r.Loans = l.loansOf(r.Program)
		if g, err, ok := s.reserveAtReader(ctx, l, host, r); ok {
			return g, err, true
		}
	}
	return nil, nil, false
}

// reserveAtReader asks a host that reads the partition. It returns false, and excludes
// the host, if the host could not decide.
func (s *Service) reserveAtReader(ctx context.Context, l *ledger, host string, r port.LendRequest) (gateway.Reservation, error, bool) {
	b, answer, err := s.askWhileAlive(ctx, host, r)
	if ctx.Err() != nil {
		return nil, unknownBudget(r.Program, ctx.Err()), true
	}
	part := l.partition.Part
	if err != nil || answer.Decision == port.LendUnavailable {
		scope, limit := allPartitions, maxExclusion
		if err == nil {
			scope, limit, err = part, minExclusion, errPreferredUnavailable
			// That host may have lent in an outage that this one has not noticed.
			l.unfence()
		}
		pause := s.exclusions.add(host, scope, limit, time.Now())
		s.metrics.preferredFailures.Inc(1)
		s.log.Info("Preferred host did not serve the reservation; excluding it.", "host", host, "partition", part, "for", pause.String(), "cause", err.Error())
		return nil, nil, false
	}
	s.exclusions.remove(host, part)
	switch answer.Decision {
	case port.LendBusy:
		return nil, nil, false
	case port.LendSpent:
		l.markStopped(r.Program)
	}
	g, err := s.acceptDecision(r, b, answer)
	return g, err, true
}

// askResult is another host's answer. It may arrive after the asking call has
// returned.
type askResult struct {
	reservation *borrowed
	answer      port.LendAnswer
	err         error
}

// askWhileAlive asks a host for a reservation and waits as long as that host is
// alive, since it may have to claim in a slow log. It checks this after
// preferredTimeout and then at intervals.
func (s *Service) askWhileAlive(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r = named(r)
	r.MaxWait = maxClaimWait
	answered := make(chan askResult, 1)
	s.run(func() {
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
			// The log may be unavailable. This host probes it while the other one
			// waits for its own claim.
			s.startedLedger(s.partitionOf(r.Program)).availability.suspect()
		}
		if err := s.checkAlive(ctx, host); err != nil {
			s.endUnused(host, r)
			s.releaseLateGrant(answered)
			return nil, port.LendAnswer{}, err
		}
		timer.Reset(2 * preferredTimeout)
	}
}

// checkAlive returns an error if a host does not answer an empty note within
// preferredTimeout.
func (s *Service) checkAlive(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, preferredTimeout)
	defer cancel()
	_, err := s.peers.Note(ctx, host, port.BudgetNote{})
	return err
}

// releaseLateGrant ends a reservation that is granted after its caller has stopped
// waiting.
func (s *Service) releaseLateGrant(answered <-chan askResult) {
	s.run(func() {
		a := <-answered
		if a.err == nil && a.answer.Decision == port.LendGranted {
			a.reservation.Release()
		}
	})
}
