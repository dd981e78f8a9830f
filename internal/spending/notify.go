package spending

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// noteTimeout bounds sending a note to other hosts.
	noteTimeout = 300 * time.Millisecond
	// loanReceivers is how many hosts are notified of a loan, besides the lender and
	// the borrower. If half of the hosts lose power in an outage, all seven are among
	// them with a probability of 1 in 128.
	loanReceivers = 5
	// nearlyClaimedReceivers is how many hosts are notified that a budget is nearly
	// claimed: the one that would lend of it and the next one.
	nearlyClaimedReceivers = 2
	// loanClaimDelay is how long other hosts leave it to the lender to claim a loan
	// after the log has recovered: the time of some probes and an append.
	loanClaimDelay = 300 * time.Millisecond
)

// notifiedClaims is how much of a budget was claimed at an offset of the log,
// according to another host.
type notifiedClaims struct {
	claimed, offset int64
	receivedAt      time.Time
}

// claimedLocked returns how many tokens of a program's budget are known to be
// claimed, from the book or from a note about a later offset. The caller holds l.mu.
func (l *ledger) claimedLocked(program string) int64 {
	claimed := l.book.Claimed(program)
	if a := l.notified[program]; a.offset > l.applied {
		return max(claimed, a.claimed)
	}
	return claimed
}

// notifyIfNearlyClaimed notifies the hosts that may lend of a budget if a loan might
// no longer fit it. They need this because they read the log only when they claim
// themselves. Loans of a smaller budget, or of one with fewer claims, fit in any
// case. The caller holds l.mu.
func (l *ledger) notifyIfNearlyClaimed(s *slice) {
	claimed := l.book.Claimed(s.program)
	if !budget.IsNearlyClaimed(s.largestTurn, s.budget, claimed) {
		return
	}
	l.onNearlyClaimed(port.BudgetNote{Program: s.program, Claimed: claimed, Offset: l.applied})
}

// loansOf returns the loans of a program that this host knows and that are not in the
// book, including its own.
func (l *ledger) loansOf(program string) []port.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	claims := l.loans.Of(program)
	if s := l.slices[program]; s != nil && s.loan != nil {
		claims = append(claims, *s.loan)
	}
	loans := make([]port.Loan, 0, len(claims))
	for _, c := range claims {
		if !l.book.Has(c) {
			loans = append(loans, loanOf(c))
		}
	}
	return loans
}

func loanOf(c budget.Claim) port.Loan {
	return port.Loan{Writer: c.Writer, Sequence: c.Sequence, Budget: c.Budget, Total: c.Total}
}

// addLoans adds loans that another host has reported.
func (l *ledger) addLoans(program string, loans []port.Loan) {
	if len(loans) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, loan := range loans {
		c := budget.Claim{
			Writer: loan.Writer, Sequence: loan.Sequence, Program: program,
			Budget: loan.Budget, Total: loan.Total, Settled: true,
		}
		if c.Writer != l.writer && !l.book.Has(c) {
			l.loans.Add(c, now)
		}
	}
	if !l.isUnavailable() {
		l.signalLoansDue()
	}
}

// Note records what another host has reported. It implements port.BudgetServer.
func (s *Service) Note(n port.BudgetNote) (isRecorded bool) {
	if n.Program == "" {
		// An empty note only checks that this host is alive.
		return true
	}
	l := s.startedLedger(s.partitionOf(n.Program))
	l.addLoans(n.Program, n.Loans)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Offset > l.applied && n.Offset > l.notified[n.Program].offset {
		l.notified[n.Program] = notifiedClaims{claimed: n.Claimed, offset: n.Offset, receivedAt: time.Now()}
	}
	return !slices.ContainsFunc(n.Loans, func(loan port.Loan) bool {
		return !l.book.Has(budget.Claim{Program: n.Program, Writer: loan.Writer, Sequence: loan.Sequence})
	})
}

// notify sends a note to the first count hosts of the program's order that accept it.
// It does not wait for them.
func (s *Service) notify(n port.BudgetNote, count int) {
	if s.peers == nil {
		return
	}
	s.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		self := s.peers.Self()
		hosts := slices.DeleteFunc(slices.Clone(s.hostOrder(s.partitionOf(n.Program))), func(host string) bool { return host == self })
		for missing := count; missing > 0 && len(hosts) > 0 && ctx.Err() == nil; {
			next := hosts[:min(missing, len(hosts))]
			hosts = hosts[len(next):]
			missing -= s.notifyAll(ctx, next, n)
		}
	})
}

// notifyAll sends a note to several hosts at once and returns how many accepted it.
func (s *Service) notifyAll(ctx context.Context, hosts []string, n port.BudgetNote) int {
	var sending sync.WaitGroup
	accepted := make([]bool, len(hosts))
	for i, host := range hosts {
		sending.Go(func() {
			_, err := s.peers.Note(ctx, host, n)
			if err != nil {
				s.log.V(1).Info("Note was not accepted.", "host", host, "program", n.Program, "cause", err.Error())
				if n.Claimed > 0 {
					s.missed.add(host, n, time.Now())
				}
			}
			accepted[i] = err == nil
		})
	}
	sending.Wait()
	return len(slices.DeleteFunc(accepted, func(ok bool) bool { return !ok }))
}

// signalLoansDue makes runLoanClaims check the loans of other hosts. The caller holds
// l.mu.
func (l *ledger) signalLoansDue() {
	if l.loans.Len() == 0 {
		return
	}
	signal(l.loansDue)
}

// runLoanClaims claims loans that their lenders have not claimed after the log
// recovered, since the lenders may have ended. The claims carry the lender's writer
// and sequence number, so that they count once however many hosts append them.
func (l *ledger) runLoanClaims(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.loansDue:
		}
		tail.Sleep(ctx, loanClaimDelay)
		if l.isUnavailable() {
			// The recovery of the log signals loansDue again.
			continue
		}
		if err := l.appendKnownLoans(ctx); err != nil {
			l.log.Info("Claiming loans of other hosts failed; retrying.", "partition", l.partition.Part, "cause", err.Error())
			l.mu.Lock()
			l.signalLoansDue()
			l.mu.Unlock()
		}
	}
}

// appendKnownLoans appends claims for all loans of other hosts that the host knows of. It makes
// no call if there are none.
func (l *ledger) appendKnownLoans(ctx context.Context) error {
	l.mu.Lock()
	known := len(l.loans.UnrecordedClaims(l.book, 1))
	l.mu.Unlock()
	if known == 0 {
		return nil
	}
	return l.appendLoans(ctx)
}

// appendLoans appends claims for all loans of other hosts that are not in the log.
func (l *ledger) appendLoans(ctx context.Context) error {
	for {
		isDone, err := l.appendSomeLoans(ctx)
		if err != nil || isDone {
			return err
		}
	}
}

// appendSomeLoans appends up to maxBatch claims for loans of other hosts that are not in the
// log. It reports whether the log now contains all that the host knows of.
func (l *ledger) appendSomeLoans(ctx context.Context) (bool, error) {
	if err := l.catchUp(ctx, math.MaxInt64); err != nil {
		return false, err
	}
	l.mu.Lock()
	claims := l.loans.UnrecordedClaims(l.book, maxBatch)
	l.mu.Unlock()
	if len(claims) == 0 {
		return true, nil
	}
	records, err := encodeAll(claims, l.newMark())
	if err != nil {
		return false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := l.shared.Append(callCtx, l.partition, records)
	if err != nil {
		return false, err
	}
	l.log.Info("Claimed loans of other hosts.", "partition", l.partition.Part, "claims", len(claims), "offset", offset)
	if err := l.catchUp(ctx, offset+int64(len(claims))); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loans.UnrecordedClaims(l.book, 1)) == 0, nil
}
