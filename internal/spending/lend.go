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
	// maxClaimHosts is how many hosts are asked whether they reach the log before it
	// counts as unavailable for all. If half of the hosts are cut off, all of those
	// asked are among them with a probability of 1 in 4,000. Hosts that know that
	// they are cut off answer at once.
	maxClaimHosts = 12
	// claimTimeout is how long an asked host may take to claim, several times the
	// usual 10 ms.
	claimTimeout = 150 * time.Millisecond
	// askTimeout bounds a request to one host: its claim, or a connection that is
	// accepted but not answered.
	askTimeout = claimTimeout + 100*time.Millisecond
	// askAllTimeout bounds the requests to all hosts together, so that a turn that
	// can't be served is refused soon.
	askAllTimeout = 600 * time.Millisecond
	// settleTimeout bounds one report of what a borrowed reservation spent.
	settleTimeout = time.Second
	// settleAttempts is how often the report is tried, over about 4 s. After a single
	// attempt, a lender that briefly accepts no connections would keep the tokens
	// reserved.
	settleAttempts = 8
	// allUnavailableTTL is how long the finding that no host reaches the log is used
	// before hosts are asked again.
	allUnavailableTTL = time.Second
	// lendPollInterval is how often a loan that waits for other turns of the program
	// is tried. Turns take some hundred milliseconds.
	lendPollInterval = 10 * time.Millisecond
	// earlySettlementTTL is how long the settlement of a reservation that is not
	// granted yet is remembered. It is longer than a grant may take.
	earlySettlementTTL = 10 * time.Second
	// loanExpiry is when a loan that its borrower has not settled counts as spent in
	// full.
	loanExpiry = time.Minute
)

// errNoHost says that no other host answered.
var errNoHost = errors.New("no other host answered")

// errBusy says that other hosts reach the log but could not claim in time.
var errBusy = errors.New("other hosts could not claim in time")

// lending is the state of reservations between hosts.
type lending struct {
	mu sync.Mutex
	// granted holds the reservations that other hosts have borrowed of this one, by
	// the ID that the borrower chose.
	granted map[uint64]grantedReservation
	// settledEarly holds reservations that were settled before they were granted,
	// because the asking host had stopped waiting.
	settledEarly map[uint64]time.Time
	// lastClaimHost is the host that last decided on a claim for this one.
	lastClaimHost atomic.Pointer[string]
	// isIsolated says that no other host answered the latest requests.
	isIsolated atomic.Bool
	// isLeaving says that this host is shutting down and no longer lends.
	isLeaving atomic.Bool
}

// grantedReservation is a reservation that another host has borrowed of this one.
type grantedReservation struct {
	reservation gateway.Reservation
	maxTokens   int64
	grantedAt   time.Time
}

// borrow asks other hosts for a reservation: first for a claim in the log, which some
// of them may reach, then for a loan without a claim. It returns cause if this host
// reaches the log or cannot borrow.
func (s *Service) borrow(ctx context.Context, l *ledger, r port.LendRequest, cause error) (gateway.Reservation, error) {
	if s.peers == nil || !l.isUnavailable() {
		return nil, cause
	}
	order := s.hostOrder(l.partition.Part)
	if time.Now().UnixNano() > l.allUnavailableUntil.Load() {
		result := s.askForClaim(ctx, order, r)
		if result.reservation != nil || result.err != nil {
			return result.reservation, result.err
		}
		s.lending.isIsolated.Store(result.unavailable+result.busy == 0)
		switch {
		case result.unavailable+result.busy == 0:
			// A host that reaches no other host does not know what they lend.
			return nil, unknownBudget(r.Program, errors.Annotate(errNoHost, cause.Error()))
		case result.busy > 0:
			return nil, unknownBudget(r.Program, errors.Annotate(errBusy, cause.Error()))
		}
		l.allUnavailableUntil.Store(time.Now().Add(allUnavailableTTL).UnixNano())
	}
	return s.askForLoan(ctx, l, order, r, cause)
}

// claimResult is the result of asking other hosts for a claim.
type claimResult struct {
	reservation gateway.Reservation
	err         error
	// unavailable counts the hosts that do not reach the log, busy those that reach
	// it but could not claim.
	unavailable, busy int
}

// askForClaim asks up to maxClaimHosts hosts for a claim until one decides.
func (s *Service) askForClaim(ctx context.Context, order []string, r port.LendRequest) claimResult {
	var result claimResult
	tried := 0
	ctx, cancel := context.WithTimeout(ctx, askAllTimeout)
	defer cancel()
	for _, host := range s.lastClaimHostFirst(order) {
		if host == s.peers.Self() {
			continue
		}
		if tried++; tried > maxClaimHosts {
			break
		}
		if ctx.Err() != nil {
			// Hosts that have not been asked may reach the log.
			result.busy++
			break
		}
		b, answer, err := s.ask(ctx, host, r)
		switch {
		case err != nil:
		case answer.Decision == port.LendUnavailable:
			result.unavailable++
		case answer.Decision == port.LendBusy:
			result.busy++
		default:
			s.lending.lastClaimHost.Store(&host)
			result.reservation, result.err = s.acceptDecision(r, b, answer)
			return result
		}
	}
	return result
}

// lastClaimHostFirst puts the host that last decided on a claim for this one in front
// of the order.
func (s *Service) lastClaimHostFirst(order []string) []string {
	last := s.lending.lastClaimHost.Load()
	if last == nil || !slices.Contains(order, *last) {
		return order
	}
	return append([]string{*last}, order...)
}

// askForLoan asks for a loan without a claim. All hosts ask in the order of the
// program's partition, so that the first one that answers lends to all of them.
func (s *Service) askForLoan(ctx context.Context, l *ledger, order []string, r port.LendRequest, cause error) (gateway.Reservation, error) {
	r.MayLend = true
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	for _, host := range order {
		if ctx.Err() != nil {
			break
		}
		if host == s.peers.Self() {
			if !s.mayLend(l) {
				continue
			}
			return s.lend(ctx, l, r)
		}
		b, answer, err := s.askWhileAlive(ctx, host, r)
		if err != nil {
			s.recordAskFailure(host, err)
			continue
		}
		s.startedLedger(l.partition.Part).addLoans(r.Program, answer.Loans)
		switch answer.Decision {
		case port.LendUnavailable:
			// The host is shutting down or has not read the log yet.
			continue
		case port.LendBusy:
			return nil, cause
		}
		return s.acceptDecision(r, b, answer)
	}
	return nil, cause
}

// ask asks a host for a reservation and waits for askTimeout at most.
func (s *Service) ask(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b, answer, err := s.reserveAt(ctx, host, r)
	if err != nil {
		s.recordAskFailure(host, err)
	}
	return b, answer, err
}

// reserveAt asks a host for a reservation under a new, random ID. The returned
// reservation is valid only if the answer grants it. If the answer is lost, the
// reservation is settled as unspent, since the host may have granted it.
func (s *Service) reserveAt(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	r.Reservation = rand.Uint64()
	b := &borrowed{service: s, host: host, id: r.Reservation}
	answer, err := s.peers.Reserve(ctx, host, r)
	var down *port.HostDownError
	if err != nil && !errors.As(err, &down) {
		b.Release()
	}
	return b, answer, err
}

// recordAskFailure counts and logs a host that did not answer.
func (s *Service) recordAskFailure(host string, err error) {
	s.metrics.lendFailures.Inc(1)
	s.log.V(1).Info("Host did not answer the reservation request.", "host", host, "cause", err.Error())
}

// acceptDecision converts another host's answer into a reservation, or into a
// *gateway.BudgetSpentError.
func (s *Service) acceptDecision(r port.LendRequest, b *borrowed, answer port.LendAnswer) (gateway.Reservation, error) {
	s.lending.isIsolated.Store(false)
	s.log.Info("Another host decided on the reservation.", "program", r.Program, "host", b.host, "granted", answer.Decision == port.LendGranted, "lent", r.MayLend)
	if answer.Decision == port.LendSpent {
		return nil, &gateway.BudgetSpentError{Program: r.Program, Budget: r.Budget}
	}
	s.metrics.borrowed.Inc(1)
	return b, nil
}

// borrowed is a reservation granted by another host. It implements
// gateway.Reservation.
type borrowed struct {
	service *Service
	host    string
	id      uint64
	spent   int64
}

// Spend implements gateway.Reservation.
func (b *borrowed) Spend(tokens int64) { b.spent += tokens }

// End reports what was spent to the lender, without waiting. It implements
// gateway.Reservation. If no report arrives, the reservation counts as spent in full.
func (b *borrowed) Release() {
	s := b.service
	s.done.Go(func() {
		pause := firstRetry
		for attempt := 1; ; attempt++ {
			err := b.settle()
			if err == nil {
				return
			}
			if attempt == settleAttempts || s.ctx.Err() != nil {
				s.log.Info("Settling a loan failed; it counts as spent in full.", "host", b.host, "reservation", b.id, "spent", b.spent, "tries", attempt, "cause", err.Error())
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
	return b.service.peers.Settle(ctx, b.host, b.id, b.spent)
}

// Lend reserves tokens for another host. It implements port.BudgetServer.
func (s *Service) Lend(ctx context.Context, r port.LendRequest) port.LendAnswer {
	l := s.startedLedger(s.partitionOf(r.Program))
	l.addLoans(r.Program, r.Loans)
	if r.MaxWait > 0 && s.lending.isLeaving.Load() {
		// This host will not be running when the reservation is settled.
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
	case !l.isUnavailable():
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
		// The asking host no longer waits and would not settle the reservation.
		reservation.Release()
		return port.LendAnswer{Decision: port.LendBusy}
	}
	s.metrics.lent.Inc(1)
	s.lending.add(r.Reservation, reservation, r.MaxTokens, time.Now())
	return port.LendAnswer{Decision: port.LendGranted, Loans: l.loansOf(r.Program)}
}

// add keeps a reservation of maxTokens tokens until it is settled. One that was
// settled early ends at once. Expired reservations count as spent in full.
func (l *lending) add(id uint64, r gateway.Reservation, maxTokens int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.settledEarly[id]; ok {
		delete(l.settledEarly, id)
		r.Release()
		return
	}
	if l.granted == nil {
		l.granted = make(map[uint64]grantedReservation)
	}
	for id, old := range l.granted {
		if now.Sub(old.grantedAt) > loanExpiry {
			delete(l.granted, id)
			old.reservation.Spend(old.maxTokens)
			old.reservation.Release()
		}
	}
	l.granted[id] = grantedReservation{reservation: r, maxTokens: maxTokens, grantedAt: now}
}

// settle removes and returns a granted reservation. If there is none, it notes the
// ID, so that the reservation is not granted later.
func (l *lending) settle(id uint64, now time.Time) (grantedReservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.granted[id]
	delete(l.granted, id)
	if !ok {
		if l.settledEarly == nil {
			l.settledEarly = make(map[uint64]time.Time)
		}
		maps.DeleteFunc(l.settledEarly, func(_ uint64, at time.Time) bool { return now.Sub(at) > earlySettlementTTL })
		l.settledEarly[id] = now
	}
	return g, ok
}

// SettleLoan ends a reservation of another host, which has spent so many tokens of
// it. It implements port.BudgetServer.
func (s *Service) SettleLoan(reservation uint64, spent int64) {
	g, ok := s.lending.settle(reservation, time.Now())
	if !ok {
		return
	}
	g.reservation.Spend(spent)
	g.reservation.Release()
}

// errNotLent says that the budget may not have room for the turn, as far as this host
// knows.
var errNotLent = errors.New("budget may not have room for the turn")

// lend starts a turn without a claim and notifies the hosts that would lend next. It
// waits while other turns of the program may still give back tokens, until ctx ends.
// Its errors are *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (s *Service) lend(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error) {
	for {
		g, outcome := l.lend(r)
		switch outcome {
		case loanGranted:
			s.notify(port.BudgetNote{Program: r.Program, Loans: l.loansOf(r.Program)}, loanReceivers)
			return g, nil
		case loanExhausted:
			l.markStopped(r.Program)
			return nil, &gateway.BudgetSpentError{Program: r.Program, Budget: r.Budget}
		case loanRefused:
			return nil, unknownBudget(r.Program, errNotLent)
		}
		tail.Sleep(ctx, lendPollInterval)
		if ctx.Err() != nil {
			return nil, unknownBudget(r.Program, errNotLent)
		}
	}
}

// mayLend reports whether this host knows all claims made before the outage and will
// be running after it.
func (s *Service) mayLend(l *ledger) bool {
	return l.isCurrent.Load() && !s.pauses.isPaused(time.Now()) && !s.lending.isLeaving.Load()
}

// StopLending makes the host refuse further loans, because it is shutting down and
// could not claim them after the outage.
func (s *Service) StopLending() { s.lending.isLeaving.Store(true) }

// loanOutcome is the result of a request for a loan.
type loanOutcome int

const (
	loanGranted loanOutcome = iota
	// loanDeferred says that running turns may still give back enough tokens.
	loanDeferred
	loanRefused
	// loanExhausted says that the budget is spent.
	loanExhausted
)

// lend starts a turn without a claim and records the claim to make after the outage.
func (l *ledger) lend(r port.LendRequest) (gateway.Reservation, loanOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sliceOf(r.Program, r.Budget)
	claimed := max(l.claimedLocked(r.Program), r.Claimed)
	unclaimed := l.loans.UnrecordedTokens(l.book, r.Program)
	if !s.Lend(r.MaxTokens, r.Budget, claimed, unclaimed) || !s.Begin(r.MaxTokens) {
		outcome := loanRefused
		switch {
		case s.IsExhausted(r.MaxTokens, r.Budget):
			outcome = loanExhausted
		case s.MayLend(r.MaxTokens, r.Budget, claimed, unclaimed):
			return nil, loanDeferred
		}
		l.log.Info("Refused to lend.", "program", r.Program, "budget", r.Budget, "claimed", claimed, "lent", unclaimed,
			"spent", s.Spent, "open", s.Open, "exhausted", outcome == loanExhausted)
		return nil, outcome
	}
	s.usedAt = time.Now()
	l.sequence++
	s.Sequence = l.sequence
	s.loan = &budget.Claim{
		Writer: l.writer, Sequence: l.sequence, Program: r.Program, Budget: r.Budget,
		Total: max(s.Needed(0), s.Confirmed), Settled: true,
	}
	l.log.Info("Lent tokens without a claim.", "program", r.Program, "budget", r.Budget, "claimed", claimed, "lent", unclaimed, "total", s.loan.Total, "offset", l.applied)
	return &reservation{ledger: l, slice: s, maxTokens: r.MaxTokens}, loanGranted
}

// mustDetectRecovery reports whether this host has to append or read as soon as the
// log recovers, even without turns.
func (l *ledger) mustDetectRecovery() bool {
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

// claimOwnLoans claims what this host has lent, and triggers the claims for other
// hosts' loans, after the log has recovered.
func (l *ledger) claimOwnLoans() {
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
	l.signalLoansDue()
	l.signalWriter()
}
