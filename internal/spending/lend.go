package spending

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// askedForClaim is how many hosts are asked whether they reach the log
	// before it counts as away for all. If half of the hosts are cut off, all
	// of them are among these once in 4,000 times. Hosts that know that they
	// are cut off answer at once.
	askedForClaim = 12
	// claimTimeout is how long an asked host may take to claim: some times the
	// 10 ms that it needs.
	claimTimeout = 150 * time.Millisecond
	// askTimeout bounds one request to another host: a claim, or a connection
	// that takes no answer.
	askTimeout = claimTimeout + 100*time.Millisecond
	// askAllTimeout bounds the requests to all of them, so that a turn that can't
	// be served is refused soon.
	askAllTimeout = 600 * time.Millisecond
	// settleTimeout bounds the report of what a borrowed reservation spent.
	settleTimeout = time.Second
	// settleTries is how often it is made, over some 4 s: a host that took no
	// connection for a moment would hold the reservation for good.
	settleTries = 8
	// allAwayFor is how long the finding that no host reaches the log is used
	// without asking again.
	allAwayFor = time.Second
	// lendPoll is how often a loan that waits for other turns is looked at. Turns
	// take some hundred milliseconds.
	lendPoll = 10 * time.Millisecond
	// earlyMemory is for how long a settlement that has overtaken its grant is
	// remembered: longer than a grant may take.
	earlyMemory = 10 * time.Second
	// loanExpiry is when a loan counts as spent whose borrower is silent.
	loanExpiry = time.Minute
)

// errNobody says that no host could be asked.
var errNobody = errors.New("no other host answers")

// errBusy says that other hosts reach the log, but could not claim in time.
var errBusy = errors.New("other hosts could not claim")

// lending is what this host knows of reservations between hosts.
type lending struct {
	mu      sync.Mutex
	granted map[uint64]lentOut
	// settledEarly holds reservations that were settled before they were granted: the
	// asking host had gone on.
	settledEarly map[uint64]time.Time
	// helper is the host that has last reserved for this one.
	helper atomic.Pointer[string]
	// isolated says that no other host answered the last time.
	isolated atomic.Bool
	// isLeaving says that this host lends nothing any more.
	isLeaving atomic.Bool
}

// lentOut is a reservation that another host holds of this one.
type lentOut struct {
	reservation gateway.Reservation
	most        int64
	at          time.Time
}

// borrow asks other hosts for a reservation: first for a claim in the log,
// which some of them may reach, then for a loan.
func (s *Service) borrow(ctx context.Context, l *ledger, r port.LendRequest, cause error) (gateway.Reservation, error) {
	if s.lenders == nil || !l.isAway() {
		return nil, cause
	}
	order := s.order(l.partition.Part)
	if time.Now().UnixNano() > l.allAway.Load() {
		a := s.askForClaim(ctx, order, r)
		if a.reservation != nil || a.err != nil {
			return a.reservation, a.err
		}
		s.lending.isolated.Store(a.away+a.busy == 0)
		switch {
		case a.away+a.busy == 0:
			// A host that reaches nobody can't tell what the others lend.
			return nil, unknownBudget(r.Program, errors.Annotate(errNobody, cause.Error()))
		case a.busy > 0:
			return nil, unknownBudget(r.Program, errors.Annotate(errBusy, cause.Error()))
		}
		l.allAway.Store(time.Now().Add(allAwayFor).UnixNano())
	}
	return s.askForLoan(ctx, l, order, r, cause)
}

// asked is what came of asking other hosts for a claim.
type asked struct {
	reservation gateway.Reservation
	err         error
	// away and busy count the hosts that do not reach the log, and those that
	// do and could not claim.
	away, busy int
}

// askForClaim asks hosts that may reach the log.
func (s *Service) askForClaim(ctx context.Context, order []string, r port.LendRequest) asked {
	var a asked
	n := 0
	ctx, cancel := context.WithTimeout(ctx, askAllTimeout)
	defer cancel()
	for _, host := range s.helperFirst(order) {
		if host == s.lenders.Self() {
			continue
		}
		if n++; n > askedForClaim {
			break
		}
		if ctx.Err() != nil {
			// Some that were not asked may reach the log.
			a.busy++
			break
		}
		b, answer, err := s.ask(ctx, host, r)
		switch {
		case err != nil:
		case answer.Decision == port.LendUnavailable:
			a.away++
		case answer.Decision == port.LendBusy:
			a.busy++
		default:
			s.lending.helper.Store(&host)
			a.reservation, a.err = s.decided(r, b, answer)
			return a
		}
	}
	return a
}

// helperFirst puts the host first that has last reserved for this one.
func (s *Service) helperFirst(order []string) []string {
	helper := s.lending.helper.Load()
	if helper == nil || !slices.Contains(order, *helper) {
		return order
	}
	return append([]string{*helper}, order...)
}

// askForLoan asks the first host of the program's order that answers for a
// loan without a claim, so that all hosts ask the same.
func (s *Service) askForLoan(ctx context.Context, l *ledger, order []string, r port.LendRequest, cause error) (gateway.Reservation, error) {
	r.MayLend = true
	ctx, cancel := context.WithTimeout(ctx, maxPatience)
	defer cancel()
	for _, host := range order {
		if ctx.Err() != nil {
			break
		}
		if host == s.lenders.Self() {
			if !s.mayLend(l) {
				continue
			}
			return s.lend(ctx, l, r)
		}
		b, answer, err := s.askPatiently(ctx, host, r)
		if err != nil {
			s.askFailed(host, err)
			continue
		}
		s.use(l.partition.Part).learn(r.Program, answer.Loans)
		switch answer.Decision {
		case port.LendUnavailable:
			// The host is leaving or has only started.
			continue
		case port.LendBusy:
			return nil, cause
		}
		return s.decided(r, b, answer)
	}
	return nil, cause
}

func (s *Service) ask(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b, answer, err := s.reserveAt(ctx, host, r)
	if err != nil {
		s.askFailed(host, err)
	}
	return b, answer, err
}

// reserveAt asks a host for a reservation, which counts if the answer grants it. One
// whose answer has got lost is settled.
func (s *Service) reserveAt(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	r.Reservation = rand.Uint64()
	b := &borrowed{service: s, host: host, id: r.Reservation}
	answer, err := s.lenders.Reserve(ctx, host, r)
	var down *port.HostDownError
	if err != nil && !errors.As(err, &down) {
		b.Release()
	}
	return b, answer, err
}

func (s *Service) askFailed(host string, err error) {
	s.metrics.lendFailures.Inc(1)
	s.log.V(1).Info("A host did not answer.", "host", host, "cause", err.Error())
}

// decided turns another host's answer into a reservation.
func (s *Service) decided(r port.LendRequest, b *borrowed, answer port.LendAnswer) (gateway.Reservation, error) {
	s.lending.isolated.Store(false)
	s.log.Info("Another host has decided.", "program", r.Program, "host", b.host, "granted", answer.Decision == port.LendGranted, "lent", r.MayLend)
	if answer.Decision == port.LendSpent {
		return nil, &gateway.BudgetSpentError{Program: r.Program, Budget: r.Budget}
	}
	s.metrics.borrowed.Inc(1)
	return b, nil
}

// borrowed is a reservation at another host. It implements
// gateway.Reservation.
type borrowed struct {
	service *Service
	host    string
	id      uint64
	spent   int64
}

// Spend implements gateway.Reservation.
func (b *borrowed) Spend(tokens int64) { b.spent += tokens }

// End implements gateway.Reservation. A report that does not arrive leaves the
// reservation spent in full.
func (b *borrowed) Release() {
	s := b.service
	s.done.Go(func() {
		pause := firstRetry
		for try := 1; ; try++ {
			err := b.settle()
			if err == nil {
				return
			}
			if try == settleTries || s.ctx.Err() != nil {
				s.log.Info("A loan could not be settled.", "host", b.host, "reservation", b.id, "spent", b.spent, "tries", try, "cause", err.Error())
				return
			}
			tail.Sleep(s.ctx, pause)
			pause *= 2
		}
	})
}

func (b *borrowed) settle() error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return b.service.lenders.Settle(ctx, b.host, b.id, b.spent)
}

// Lend implements port.BudgetServer.
func (s *Service) Lend(ctx context.Context, r port.LendRequest) port.LendAnswer {
	l := s.use(s.part(r.Program))
	l.learn(r.Program, r.Loans)
	if r.MaxWait > 0 && s.lending.isLeaving.Load() {
		// What it grants now could not be settled.
		return port.LendAnswer{Decision: port.LendUnavailable, Loans: l.loansOf(r.Program)}
	}
	claimCtx, cancel := context.WithTimeout(ctx, max(claimTimeout, r.MaxWait))
	defer cancel()
	reservation, err := l.reserve(claimCtx, r.Program, r.Budget, r.MaxTokens)
	var spent *gateway.BudgetSpentError
	switch {
	case err == nil:
	case errors.As(err, &spent):
		return port.LendAnswer{Decision: port.LendSpent}
	case !l.isAway():
		return port.LendAnswer{Decision: port.LendBusy}
	case !r.MayLend || !s.mayLend(l):
		return port.LendAnswer{Decision: port.LendUnavailable, Loans: l.loansOf(r.Program)}
	default:
		reservation, err = s.lend(claimCtx, l, r)
		if errors.As(err, &spent) {
			return port.LendAnswer{Decision: port.LendSpent, Loans: l.loansOf(r.Program)}
		}
		if err != nil {
			return port.LendAnswer{Decision: port.LendBusy, Loans: l.loansOf(r.Program)}
		}
	}
	if ctx.Err() != nil {
		// The asking host has gone on; nobody would settle it.
		reservation.Release()
		return port.LendAnswer{Decision: port.LendBusy}
	}
	s.metrics.lent.Inc(1)
	s.lending.add(r.Reservation, reservation, r.MaxTokens, time.Now())
	return port.LendAnswer{Decision: port.LendGranted, Loans: l.loansOf(r.Program)}
}

// add keeps a reservation of at most most tokens until it is settled.
func (l *lending) add(id uint64, r gateway.Reservation, most int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.settledEarly[id]; ok {
		delete(l.settledEarly, id)
		r.Release()
		return
	}
	if l.granted == nil {
		l.granted = make(map[uint64]lentOut)
	}
	for id, old := range l.granted {
		if now.Sub(old.at) > loanExpiry {
			delete(l.granted, id)
			old.reservation.Spend(old.most)
			old.reservation.Release()
		}
	}
	l.granted[id] = lentOut{reservation: r, most: most, at: now}
}

// settle returns a reservation that was granted. One that was not is not granted
// any more.
func (l *lending) settle(id uint64, now time.Time) (lentOut, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.granted[id]
	delete(l.granted, id)
	if !ok {
		if l.settledEarly == nil {
			l.settledEarly = make(map[uint64]time.Time)
		}
		maps.DeleteFunc(l.settledEarly, func(_ uint64, at time.Time) bool { return now.Sub(at) > earlyMemory })
		l.settledEarly[id] = now
	}
	return g, ok
}

// SettleLoan implements port.BudgetServer.
func (s *Service) SettleLoan(reservation uint64, spent int64) {
	g, ok := s.lending.settle(reservation, time.Now())
	if !ok {
		return
	}
	g.reservation.Spend(spent)
	g.reservation.Release()
}

// errNotLent says that the budget may not hold the turn, as far as is known.
var errNotLent = errors.New("budget may not hold the turn")

// lend starts a turn without a claim, and tells the hosts that would lend next.
// It waits for other turns of the program, which may leave room.
func (s *Service) lend(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error) {
	for {
		g, outcome := l.lend(r)
		switch outcome {
		case lent:
			s.tell(port.BudgetNote{Program: r.Program, Loans: l.loansOf(r.Program)}, notedAt)
			return g, nil
		case exhausted:
			l.remember(r.Program)
			return nil, &gateway.BudgetSpentError{Program: r.Program, Budget: r.Budget}
		case refused:
			return nil, unknownBudget(r.Program, errNotLent)
		}
		tail.Sleep(ctx, lendPoll)
		if ctx.Err() != nil {
			return nil, unknownBudget(r.Program, errNotLent)
		}
	}
}

// mayLend says whether this host knows what was claimed before the outage and
// will be there after it.
func (s *Service) mayLend(l *ledger) bool {
	return l.isCurrent.Load() && !s.pauses.hasStood(time.Now()) && !s.lending.isLeaving.Load()
}

// Leave makes the host lend nothing any more, since it will not be there to
// claim what it lends.
func (s *Service) StopLending() { s.lending.isLeaving.Store(true) }

// loanOutcome is what came of asking for a loan.
type loanOutcome int

const (
	lent loanOutcome = iota
	// later says that turns under way may leave room.
	later
	refused
	// exhausted says that the budget is spent for good.
	exhausted
)

// lend starts a turn without a claim, and notes the claim to make.
func (l *ledger) lend(r port.LendRequest) (gateway.Reservation, loanOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sliceOf(r.Program, r.Budget)
	claimed := max(l.known(r.Program), r.Claimed)
	beyond := l.loans.UnrecordedTokens(l.book, r.Program)
	if !s.Lend(r.MaxTokens, r.Budget, claimed, beyond) || !s.Begin(r.MaxTokens) {
		outcome := refused
		switch {
		case s.IsExhausted(r.MaxTokens, r.Budget):
			outcome = exhausted
		case s.MayLend(r.MaxTokens, r.Budget, claimed, beyond):
			return nil, later
		}
		l.log.Info("Not lent.", "program", r.Program, "budget", r.Budget, "claimed", claimed, "lent", beyond,
			"spent", s.Spent, "open", s.Open, "exhausted", outcome == exhausted)
		return nil, outcome
	}
	s.usedAt = time.Now()
	l.sequence++
	s.Sequence = l.sequence
	s.loan = &budget.Claim{
		Writer: l.writer, Sequence: l.sequence, Program: r.Program, Budget: r.Budget,
		Total: max(s.Needed(0), s.Confirmed), Settled: true,
	}
	l.log.Info("Lent.", "program", r.Program, "budget", r.Budget, "claimed", claimed, "lent", beyond, "total", s.loan.Total, "offset", l.applied)
	return &reservation{ledger: l, slice: s, most: r.MaxTokens}, lent
}

// isReturnNeeded says whether something is to be claimed as soon as the log
// answers again.
func (l *ledger) isReturnNeeded() bool {
	if l.isReader() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loans.Len() > 0 {
		return true
	}
	for _, s := range l.slices {
		if s.Lent > 0 {
			return true
		}
	}
	return false
}

// settleLoans claims what was lent, now that the log answers again.
func (l *ledger) settleLoans() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for program, s := range l.slices {
		if s.Lent == 0 {
			continue
		}
		s.loan = nil
		if _, isMore := s.Settle(); isMore {
			l.releases[program] = s
		}
	}
	l.claimLoans()
	l.wake()
}
