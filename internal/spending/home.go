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
	homeTimeout = 40 * time.Millisecond
	// suspectChecks is after how many such questions the log is probed: after
	// 200 ms, when a slow append should have been done.
	suspectChecks = 3
	// firstShun and maxShun bound for how long a home that did not answer is
	// left alone. A host that is gone is asked for about 25 s, until its record
	// is.
	firstShun = 500 * time.Millisecond
	maxShun   = 8 * time.Second
)

// errHomeAway says that the home does not reach the log, or is leaving.
var errHomeAway = errors.New("home does not reach the log")

// shuns are the homes that are not asked for some time.
type shuns struct {
	mu     sync.Mutex
	byHost map[shunned]shun
}

// shunned is a host, or one partition at it.
type shunned struct {
	host string
	part int
}

// wholeHost stands for all partitions of a host.
const wholeHost = -1

type shun struct {
	until time.Time
	pause time.Duration
}

// isShunned says whether a host is not to be asked for a partition now.
func (s *shuns) isShunned(host string, part int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byHost[shunned{host, wholeHost}].until) || now.Before(s.byHost[shunned{host, part}].until)
}

// add leaves a host or a partition at it alone. most bounds for how long; each
// time is twice the one before.
func (s *shuns) add(host string, part int, most time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byHost == nil {
		s.byHost = make(map[shunned]shun)
	}
	key := shunned{host, part}
	pause := min(max(2*s.byHost[key].pause, firstShun), most)
	s.byHost[key] = shun{until: now.Add(pause), pause: pause}
	return pause
}

// remove notes that a host has answered for a partition.
func (s *shuns) remove(host string, part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byHost, shunned{host, wholeHost})
	delete(s.byHost, shunned{host, part})
}

// reserveAtHome asks the program's home. It returns false if the home can't
// tell, so that this host has to claim.
func (s *Service) reserveAtHome(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error, bool) {
	home, isOther := s.homeOf(l.partition.Part)
	if !isOther || s.shuns.isShunned(home, l.partition.Part, time.Now()) {
		return nil, nil, false
	}
	b, answer, err := s.askPatiently(ctx, home, r)
	if ctx.Err() != nil {
		return nil, unknownBudget(r.Program, ctx.Err()), true
	}
	part := l.partition.Part
	if err != nil || answer.Decision == port.LendUnavailable {
		scope, most := wholeHost, maxShun
		if err == nil {
			scope, most, err = part, firstShun, errHomeAway
		}
		pause := s.shuns.add(home, scope, most, time.Now())
		s.metrics.homeFailures.Inc(1)
		s.log.Info("Home is left alone.", "host", home, "partition", part, "for", pause.String(), "cause", err.Error())
		return nil, nil, false
	}
	s.shuns.remove(home, part)
	switch answer.Decision {
	case port.LendBusy:
		return nil, nil, false
	case port.LendSpent:
		l.remember(r.Program)
	}
	g, err := s.decided(r, b, answer)
	return g, err, true
}

// lateAnswer is an answer that may come after its asker has gone on.
type lateAnswer struct {
	reservation *borrowed
	answer      port.LendAnswer
	err         error
}

// askPatiently asks a host and waits for as long as it is there: it may have to
// claim in a log that is slow.
func (s *Service) askPatiently(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.MaxWait = maxPatience
	answered := make(chan lateAnswer, 1)
	s.done.Go(func() {
		b, answer, err := s.reserveAt(askCtx, host, r)
		answered <- lateAnswer{reservation: b, answer: answer, err: err}
	})
	timer := time.NewTimer(homeTimeout)
	defer timer.Stop()
	for checks := 1; ; checks++ {
		select {
		case a := <-answered:
			return a.reservation, a.answer, a.err
		case <-ctx.Done():
			s.dropAnswer(answered)
			return nil, port.LendAnswer{}, ctx.Err()
		case <-timer.C:
		}
		if checks == suspectChecks {
			// The log may be away; this host finds out while the other does.
			s.use(s.part(r.Program)).reach.suspect()
		}
		if err := s.isThere(ctx, host); err != nil {
			s.dropAnswer(answered)
			return nil, port.LendAnswer{}, err
		}
		timer.Reset(2 * homeTimeout)
	}
}

// isThere returns an error if a host does not answer at once.
func (s *Service) isThere(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	return s.lenders.Note(ctx, host, port.BudgetNote{})
}

// dropAnswer returns a reservation that comes too late to be used.
func (s *Service) dropAnswer(answered <-chan lateAnswer) {
	s.done.Go(func() {
		a := <-answered
		if a.err == nil && a.answer.Decision == port.LendGranted {
			a.reservation.Release()
		}
	})
}
