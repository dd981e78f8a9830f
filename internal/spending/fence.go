package spending

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// The log may come back to some hosts first. While a lender does not reach it, callers of
// hosts in the same position still borrow, and hosts that reach it claim: together they
// would spend more than the budget. A host therefore fences the lenders of a partition
// before it first claims there, and again whenever it may have missed an outage.

const (
	// fencedHosts is how many other hosts of a partition's order are fenced: those that
	// may lend, also if they see another order.
	fencedHosts = readerCount + 1
	// fenceRetryInterval is how often a host that did not answer is fenced again, and
	// fenceRetryTTL for how long: until the record of a host that has ended expires.
	fenceRetryInterval = 400 * time.Millisecond
	fenceRetryTTL      = 25 * time.Second
	// maxFindingAge is the age of the finding that no host reaches the log if the asking
	// host does not say it, as those of earlier builds.
	maxFindingAge = allUnavailableTTL + askAllTimeout
)

// errUnfenced says that the log became unavailable while a claim was being written, so that
// other hosts may have lent meanwhile.
var errUnfenced = errors.New("log was unavailable while the claims were written")

// unfence makes the host fence the partition's lenders before its next claim.
func (l *ledger) unfence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasFenced, l.mayMark = false, false
	l.fenceEpoch++
}

// fenceState returns whether the lenders are fenced, and a number that changes when they
// no longer are.
func (l *ledger) fenceState() (hasFenced bool, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasFenced, l.fenceEpoch
}

// prepareToClaim fences the lenders of the partition if necessary and appends the loans
// that they know of. It returns the epoch of the fence, and false if the host must not claim
// yet.
func (l *ledger) prepareToClaim(ctx context.Context) (uint64, bool) {
	hasFenced, epoch := l.fenceState()
	if hasFenced {
		return epoch, true
	}
	started := time.Now()
	fenced := l.fenceLenders(ctx)
	if err := l.appendKnownLoans(ctx); err != nil {
		l.log.Info("Loans could not be appended before a claim; retrying.", "partition", l.partition.Part, "cause", err.Error())
		tail.Sleep(ctx, firstRetry)
		l.signalWriter()
		return epoch, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Without other hosts the list of hosts may not have been read yet.
	l.hasFenced = fenced != fenceResult{} && l.fenceEpoch == epoch
	l.mayMark = l.fenceEpoch == epoch
	if l.hasFenced {
		l.metrics.fences.Inc(1)
		l.log.Info("Fenced the lenders of a partition.", "partition", l.partition.Part, "answered", fenced.answered, "silent", fenced.silent, "took", time.Since(started).String())
	}
	if l.fenceEpoch != epoch {
		l.signalWriter()
		return epoch, false
	}
	return epoch, true
}

// fenceResult counts the hosts that have answered a fence and those that have not.
type fenceResult struct{ answered, silent int }

// fenceLenders fences the first hosts of the partition's order, and adds the loans that
// they know of. It does not wait for hosts that are excluded or take longer than
// preferredTimeout; these are fenced as soon as they answer.
func (s *Service) fenceLenders(ctx context.Context, l *ledger) fenceResult {
	if s.peers == nil {
		return fenceResult{}
	}
	part, self := l.partition.Part, s.peers.Self()
	hosts := slices.DeleteFunc(slices.Clone(s.hostOrder(part)), func(host string) bool { return host == self })
	hosts = hosts[:min(fencedHosts, len(hosts))]
	answers := make(chan bool, len(hosts))
	awaited := 0
	_, epoch := l.fenceState()
	for _, host := range hosts {
		if !s.exclusions.isExcluded(host, allPartitions, time.Now()) {
			awaited++
		}
		s.run(func() {
			answered := s.fenceHost(s.ctx, l, host)
			answers <- answered
			if !answered {
				s.fenceLater(l, host, epoch)
			}
		})
	}
	result := fenceResult{silent: len(hosts)}
	timeout := time.NewTimer(preferredTimeout)
	defer timeout.Stop()
	for range awaited {
		select {
		case answered := <-answers:
			if answered {
				result.answered++
				result.silent--
			}
		case <-timeout.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
	return result
}

// fenceHost fences a host and adds the loans that it knows of. It reports whether the host
// has answered.
func (s *Service) fenceHost(ctx context.Context, l *ledger, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	loans, err := s.peers.Fence(ctx, host, l.partition.Part)
	if err != nil {
		s.log.V(1).Info("Host did not answer the fence; it may still lend.", "host", host, "partition", l.partition.Part, "cause", err.Error())
		return false
	}
	for _, loan := range loans {
		l.addLoans(loan.Program, []port.Loan{loan.Loan})
	}
	return true
}

// fenceLater fences a host that has not answered until it does, the partition's fence no
// longer holds, or fenceRetryTTL has passed.
func (s *Service) fenceLater(l *ledger, host string, epoch uint64) {
	for started := time.Now(); time.Since(started) < fenceRetryTTL && s.ctx.Err() == nil; {
		tail.Sleep(s.ctx, fenceRetryInterval)
		if _, now := l.fenceState(); now != epoch || s.fenceHost(s.ctx, l, host) {
			return
		}
	}
}

// isFenced reports whether another host may have reached the log since the asking one has
// found that none does. The caller holds l.mu.
func (l *ledger) isFenced(r port.LendRequest) bool {
	found := r.FoundAt
	if found.IsZero() {
		found = time.Now().Add(-maxFindingAge)
	}
	return !l.fencedAt.IsZero() && !found.After(l.fencedAt)
}

// Fence implements port.BudgetServer.
func (s *Service) Fence(part int) []port.ProgramLoan {
	if part < 0 || part >= len(s.ledgers) {
		return nil
	}
	return s.ledgers[part].fence(time.Now())
}

// fence refuses loans that rest on what hosts have found before it, and returns the loans
// that are not in the book.
func (l *ledger) fence(now time.Time) []port.ProgramLoan {
	l.foundUnavailable.Store(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencedAt = now
	loans := l.unrecordedLoans()
	if l.isUnavailable() {
		l.log.Info("Another host reaches the log; not lending on earlier findings.", "partition", l.partition.Part, "loans", len(loans))
	}
	return loans
}

// unrecordedLoans returns the loans that the host knows and that are not in the book, also its own. The
// caller holds l.mu.
func (l *ledger) unrecordedLoans() []port.ProgramLoan {
	var loans []port.ProgramLoan
	for _, c := range l.loans.UnrecordedClaims(l.book, l.loans.Claims()) {
		loans = append(loans, port.ProgramLoan{Program: c.Program, Loan: loanOf(c)})
	}
	for program, s := range l.slices {
		if s.loan != nil && !l.book.Has(*s.loan) {
			loans = append(loans, port.ProgramLoan{Program: program, Loan: loanOf(*s.loan)})
		}
	}
	return loans
}
