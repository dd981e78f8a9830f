package spending

import (
	"context"
	"maps"
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
	// isSettled says that the borrower has reported what it spent.
	isSettled bool
}

// Lend reserves tokens for another host. It implements port.BudgetServer.
func (s *Service) Lend(ctx context.Context, r port.LendRequest) port.LendAnswer {
	l := s.startedLedger(s.partitionOf(r.Program))
	l.addLoans(r.Program, r.Loans)
	if r.MaxWait > 0 && s.lending.isLeaving.Load() {
		// This host will not be running when the reservation is settled.
		return s.unavailableAnswer(l, r)
	}
	claimCtx, cancel := context.WithTimeout(ctx, max(claimTimeout, r.MaxWait))
	defer cancel()
	answer := s.decide(ctx, claimCtx, l, r)
	if answer.Decision != port.LendGranted && l.mayHold(r.Program, r.Account) {
		answer.Account = r.Account
	}
	return answer
}

// unavailableAnswer says that this host does not reach the log, or will not be running when it does.
func (s *Service) unavailableAnswer(l *ledger, r port.LendRequest) port.LendAnswer {
	return port.LendAnswer{Decision: port.LendUnavailable, Loans: l.loansOf(r.Program), Contact: s.contact(l)}
}

// decide reserves tokens for another host by a claim that ends with claimCtx, or lends them.
func (s *Service) decide(ctx, claimCtx context.Context, l *ledger, r port.LendRequest) port.LendAnswer {
	g, err := l.reserve(claimCtx, r.Program, r.Budget, r.MaxTokens, r.Account)
	var spent *gateway.BudgetSpentError
	switch {
	case err == nil:
	case errors.As(err, &spent):
		return port.LendAnswer{Decision: port.LendSpent}
	case !l.isUnavailable():
		return port.LendAnswer{Decision: port.LendBusy}
	case !r.MayLend || !s.mayLend(l):
		return s.unavailableAnswer(l, r)
	default:
		g, err = s.lend(claimCtx, l, r)
		if errors.As(err, &spent) {
			return port.LendAnswer{Decision: port.LendSpent, Loans: l.loansOf(r.Program)}
		}
		if err != nil {
			return port.LendAnswer{Decision: port.LendBusy, Loans: l.loansOf(r.Program)}
		}
	}
	if ctx.Err() != nil {
		// The asking host no longer waits and would not settle the reservation.
		g.Release()
		return port.LendAnswer{Decision: port.LendBusy}
	}
	s.metrics.lent.Inc(1)
	s.lending.add(r.Reservation, g, g.Limit(), time.Now())
	answer := port.LendAnswer{Decision: port.LendGranted, Granted: g.Limit(), Loans: l.loansOf(r.Program), Writer: s.writer}
	if own, ok := g.(*reservation); ok {
		answer.Account = own.slice.account
	}
	return answer
}

// Run implements port.BudgetServer.
func (s *Service) Run() port.HostRun { return port.HostRun{Writer: s.writer, StartedAt: s.startedAt} }

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
			if !old.isSettled {
				old.reservation.Spend(old.maxTokens)
			}
			old.reservation.Release()
		}
	}
	l.granted[id] = grantedReservation{reservation: r, maxTokens: maxTokens, grantedAt: now}
}

// settle spends tokens of a granted reservation, once, and returns it. If there is none,
// it notes the ID, so that the reservation is not granted later.
func (l *lending) settle(id uint64, spent int64, now time.Time) (gateway.Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.granted[id]
	if ok && !g.isSettled {
		g.reservation.Spend(spent)
		g.isSettled = true
		l.granted[id] = g
	}
	if !ok {
		if l.settledEarly == nil {
			l.settledEarly = make(map[uint64]time.Time)
		}
		maps.DeleteFunc(l.settledEarly, func(_ uint64, at time.Time) bool { return now.Sub(at) > earlySettlementTTL })
		l.settledEarly[id] = now
	}
	return g.reservation, ok
}

// forget removes a reservation that is settled.
func (l *lending) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.granted, id)
}

// SettleLoan ends a reservation of another host, which has spent so many tokens of
// it. It implements port.BudgetServer.
func (s *Service) SettleLoan(ctx context.Context, reservation uint64, spent int64) error {
	r, ok := s.lending.settle(reservation, spent, time.Now())
	if !ok {
		return nil
	}
	if err := r.Settle(ctx); err != nil {
		return err
	}
	s.lending.forget(reservation)
	return nil
}

// errNotLent says that the budget may not have room for the turn, as far as this host
// knows.
var errNotLent = errors.New("budget may not have room for the turn")

// lend starts a turn without a claim and notifies the hosts that would lend next. It
// waits while other turns of the program may still give back tokens, until ctx ends. Once the
// log is back it claims instead.
// Its errors are *gateway.BudgetSpentError and *gateway.BudgetUnknownError.
func (s *Service) lend(ctx context.Context, l *ledger, r port.LendRequest) (gateway.Reservation, error) {
	if l.isInDoubt() && !l.learnLoans(ctx) {
		return nil, unknownBudget(r.Program, errInDoubt)
	}
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
			if !l.isUnavailable() {
				return l.reserve(ctx, r.Program, r.Budget, r.MaxTokens, r.Account)
			}
			return nil, l.notLent(r.Program, errNotLent)
		}
		tail.Sleep(ctx, lendPollInterval)
		if ctx.Err() != nil {
			return nil, unknownBudget(r.Program, errNotLent)
		}
	}
}

// notLent returns the refusal of a turn that gets no loan. Its caller may retry when more is lent.
func (l *ledger) notLent(program string, cause error) error {
	var unknown *gateway.BudgetUnknownError
	if errors.As(cause, &unknown) {
		cause = unknown.Cause
	}
	retryAfter := max(unknownRetryAfter, largeLoanDelay-l.unavailableFor())
	return &gateway.BudgetUnknownError{Program: program, RetryAfter: retryAfter, Cause: errors.Trace(cause)}
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
	if !l.isUnavailable() {
		// What is lent is claimed when the log comes back, so that it must not be lent later.
		return nil, loanRefused
	}
	if l.isFenced(r) {
		l.metrics.fencedLoans.Inc(1)
		l.foundUnavailable.Store(nil)
		l.log.Info("Refused to lend because another host may reach the log.", "program", r.Program,
			"fenced_ms", time.Since(l.fencedAt).Milliseconds(), "found_ms", time.Since(r.FoundAt).Milliseconds())
		return nil, loanRefused
	}
	s := l.sliceOf(r.Program, r.Budget)
	largest := max(r.MaxTokens, s.largestTurn)
	if r.MinTokens == 0 {
		r.MinTokens = r.MaxTokens
	}
	request := budget.LoanRequest{
		MinTokens: r.MinTokens, MaxTokens: r.MaxTokens, Limit: l.loanLimit(largest, r), Budget: r.Budget,
		Claimed: max(l.claimedLocked(r.Program), r.Claimed), Lent: l.loans.UnrecordedTokens(l.book, r.Program),
	}
	accounts := s.inAccounts()
	granted := s.Lend(request, accounts)
	if granted == 0 || !s.Begin(granted) {
		outcome := loanRefused
		switch {
		case s.IsExhausted(r.MaxTokens, r.Budget, accounts):
			outcome = loanExhausted
		case s.Open+accounts.Open > 0 && s.MayLend(request, accounts):
			return nil, loanDeferred
		}
		l.log.Info("Refused to lend.", "program", r.Program, "budget", r.Budget, "claimed", request.Claimed, "lent", request.Lent,
			"limit", request.Limit, "silent_ms", silentFor(r.SilentSince).Milliseconds(), "spent", s.Spent+accounts.Spent, "open", s.Open+accounts.Open, "unclaimed", s.Needed(0)-s.Confirmed,
			"exhausted", outcome == loanExhausted)
		return nil, outcome
	}
	s.largestTurn = largest
	s.usedAt = time.Now()
	l.sequence++
	s.Sequence = l.sequence
	s.loan = &budget.Claim{
		Writer: l.writer, Sequence: l.sequence, Program: r.Program, Budget: r.Budget,
		Total: max(s.Needed(0), s.Confirmed), Settled: true,
	}
	l.log.Info("Lent tokens without a claim.", "program", r.Program, "budget", r.Budget, "claimed", request.Claimed, "lent", request.Lent,
		"granted", granted, "of", r.MaxTokens, "total", s.loan.Total, "offset", l.applied)
	return &reservation{ledger: l, slice: s, maxTokens: granted}, loanGranted
}

// unavailableFor returns for how long the partition has been unavailable. One that is used for the first
// time in an outage has been so as long as the others.
func (l *ledger) unavailableFor() time.Duration {
	since := l.availability.since()
	if whole := l.logUnavailableSince(); !whole.IsZero() && whole.Before(since) {
		since = whole
	}
	return time.Since(since)
}

// loanLimit returns how much of a budget all hosts together may lend at present: a large part once the
// marks in the log will show the outage. The caller holds l.mu.
func (l *ledger) loanLimit(largestTurn int64, r port.LendRequest) int64 {
	return budget.LoanLimit(largestTurn, r.Budget, l.showsGap(r.SilentSince))
}

// mustDetectRecovery reports whether this host has to append or read as soon as the
// log recovers, even without turns.
func (l *ledger) mustDetectRecovery() bool { return l.isReader() || l.hasLoans() }

// hasLoans reports whether the log may not contain loans that this host knows of.
func (l *ledger) hasLoans() bool {
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
	for _, s := range l.slices {
		if s.Lent == 0 {
			continue
		}
		s.loan = nil
		s.Settle()
		l.release(s)
	}
	l.signalLoansDue()
	l.signalWriter()
}
