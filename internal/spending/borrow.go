package spending

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
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
	// allUnavailableTTL is how long the finding that no host reaches the log is used
	// before hosts are asked again.
	allUnavailableTTL = time.Second
)

// errNoHost says that no other host answered.
var errNoHost = errors.New("no other host answered")

// errMinority says that most of the asked hosts did not answer, so that they may reach the
// log.
var errMinority = errors.New("most other hosts did not answer")

// errBusy says that other hosts reach the log but could not claim in time.
var errBusy = errors.New("other hosts could not claim in time")

// borrow asks other hosts for a reservation: first for a claim in the log, which some
// of them may reach, then for a loan without a claim. It returns cause if this host
// reaches the log or cannot borrow.
func (s *Service) borrow(ctx context.Context, l *ledger, r port.LendRequest, cause error) (gateway.Reservation, error) {
	if s.peers == nil || !l.isUnavailable() {
		return nil, cause
	}
	order := s.hostOrder(l.partition.Part)
	if found := l.foundUnavailable.Load(); found != nil && time.Since(found.at) < allUnavailableTTL {
		r.FoundAt, r.SilentSince = found.at, found.silentSince
		g, err := s.askForLoan(ctx, l, order, r, cause)
		var unknown *gateway.BudgetUnknownError
		isOutdated := errors.As(err, &unknown) && l.foundUnavailable.Load() != found
		if !isOutdated || ctx.Err() != nil || !l.isUnavailable() {
			return g, err
		}
	}
	r.FoundAt, r.SilentSince = time.Now(), time.Time{}
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
	case !result.isOutage():
		return nil, unknownBudget(r.Program, errors.Annotate(errMinority, cause.Error()))
	}
	r.SilentSince = result.silentSince(s.contact(l))
	l.foundUnavailable.Store(&finding{at: r.FoundAt, silentSince: r.SilentSince})
	return s.askForLoan(ctx, l, order, r, cause)
}

// claimResult is the result of asking other hosts for a claim.
type claimResult struct {
	reservation gateway.Reservation
	err         error
	// unavailable counts the hosts that do not reach the log, busy those that reach
	// it but could not claim, silent those that did not answer.
	unavailable, busy, silent int
	// contacts are what the unavailable hosts have stated.
	contacts []port.LogContact
}

// isOutage reports whether the log is unavailable for all hosts, as far as the answers
// show: a majority of the asked hosts and this one do not reach it, and none does. Hosts
// that are cut off together with this one are a minority as a rule, and the others may
// go on to claim.
func (r claimResult) isOutage() bool {
	return r.busy == 0 && r.unavailable > 0 && r.unavailable+1 > r.silent
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
		r.Loans = s.ledger(r.Program).loansOf(r.Program)
		b, answer, err := s.ask(ctx, host, r)
		switch {
		case err != nil:
			result.silent++
		case answer.Decision == port.LendUnavailable:
			result.unavailable++
			result.contacts = append(result.contacts, answer.Contact)
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
		r.Loans = l.loansOf(r.Program)
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
			l.foundUnavailable.Store(nil)
			return nil, l.notLent(r.Program, cause)
		}
		return s.acceptDecision(r, b, answer)
	}
	return nil, cause
}

// ask asks a host for a reservation and waits for askTimeout at most.
func (s *Service) ask(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b, answer, err := s.reserveAt(ctx, host, named(r))
	if err != nil {
		s.recordAskFailure(host, err)
	}
	return b, answer, err
}

// reserveAt asks a host for a reservation under the ID and account of r. The returned
// reservation is valid only if the answer grants it. If the answer is lost, the
// reservation is settled as unspent, since the host may have granted it.
func (s *Service) reserveAt(ctx context.Context, host string, r port.LendRequest) (*borrowed, port.LendAnswer, error) {
	b := &borrowed{
		service: s, host: host, id: r.Reservation, settled: make(chan struct{}),
		program: r.Program, budget: r.Budget, maxTokens: r.MaxTokens,
	}
	answer, err := s.peers.Reserve(ctx, host, r)
	b.identify(answer, r.MayLend)
	var down *port.HostDownError
	if err != nil && !errors.As(err, &down) {
		s.endUnused(host, r)
		b.Release()
	}
	if err == nil && answer.Decision != port.LendGranted && answer.Account != 0 {
		s.endUnused(host, r)
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
