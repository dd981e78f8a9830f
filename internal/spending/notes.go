package spending

import (
	"context"
	"slices"
	"sync"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// noteTimeout bounds a note to another host.
	noteTimeout = 300 * time.Millisecond
	// notedAt is how many hosts get to know of a loan, beside the one that lent
	// and the one that borrowed. If half of the hosts lose power in an outage,
	// all seven are among these once in 128 times.
	notedAt = 5
	// announcedAt is how many hosts get to know that a budget is nearly claimed:
	// the one that would lend of it, and the next one.
	announcedAt = 2
	// loanDelay is how long hosts leave it to the lender to claim a loan when the
	// log answers again: some probes and an append.
	loanDelay = 300 * time.Millisecond
)

// announced is how much of a budget was claimed at an offset of the log.
type announced struct {
	claimed, offset int64
	at              time.Time
}

// known returns the most that is known to be claimed of a program's budget. The
// caller holds the lock.
func (l *ledger) known(program string) int64 {
	claimed := l.book.Claimed(program)
	if a := l.announced[program]; a.offset > l.applied {
		return max(claimed, a.claimed)
	}
	return claimed
}

// announce tells the hosts that may lend of a budget that most of it is
// claimed. They read the log only as they claim themselves. What is lent of a
// smaller budget, or of one that is claimed by less, fits it in any case. The
// caller holds the lock.
func (l *ledger) announce(s *slice) {
	claimed := l.book.Claimed(s.program)
	if budget.IsLendable(s.most, s.budget, claimed) {
		return
	}
	l.onTight(port.BudgetNote{Program: s.program, Claimed: claimed, Offset: l.applied})
}

// loansOf returns the loans of a program that this host knows of, its own ones
// among them.
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
			loans = append(loans, port.Loan{Writer: c.Writer, Sequence: c.Sequence, Budget: c.Budget, Total: c.Total})
		}
	}
	return loans
}

// learn takes loans that another host knows of.
func (l *ledger) learn(program string, loans []port.Loan) {
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
	if !l.isAway() {
		l.claimLoans()
	}
}

// Note implements port.BudgetServer.
func (s *Service) Note(n port.BudgetNote) {
	if n.Program == "" {
		// The other host only asks whether this one is there.
		return
	}
	l := s.use(s.part(n.Program))
	l.learn(n.Program, n.Loans)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Offset > l.applied && n.Offset > l.announced[n.Program].offset {
		l.announced[n.Program] = announced{claimed: n.Claimed, offset: n.Offset, at: time.Now()}
	}
}

// tell sends a note to the first hosts that would lend of a program's budget
// and take it, without waiting.
func (s *Service) tell(n port.BudgetNote, count int) {
	if s.lenders == nil {
		return
	}
	s.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		self := s.lenders.Self()
		hosts := slices.DeleteFunc(slices.Clone(s.order(s.part(n.Program))), func(host string) bool { return host == self })
		for missing := count; missing > 0 && len(hosts) > 0 && ctx.Err() == nil; {
			next := hosts[:min(missing, len(hosts))]
			hosts = hosts[len(next):]
			missing -= s.tellAll(ctx, next, n)
		}
	})
}

// tellAll sends a note to some hosts at once and returns how many took it.
func (s *Service) tellAll(ctx context.Context, hosts []string, n port.BudgetNote) int {
	var sending sync.WaitGroup
	taken := make([]bool, len(hosts))
	for i, host := range hosts {
		sending.Go(func() {
			err := s.lenders.Note(ctx, host, n)
			if err != nil {
				s.log.V(1).Info("A note was not taken.", "host", host, "program", n.Program, "cause", err.Error())
			}
			taken[i] = err == nil
		})
	}
	sending.Wait()
	return len(slices.DeleteFunc(taken, func(ok bool) bool { return !ok }))
}

// claimLoans makes keepLoans look at the loans of other hosts.
func (l *ledger) claimLoans() {
	if l.loans.Len() == 0 {
		return
	}
	signal(l.loansDue)
}

// keepLoans claims the loans of other hosts that these have not claimed when
// the log answers again: they may have ended. The claims bear the names of the
// lenders, so that they count once however many hosts make them.
func (l *ledger) keepLoans(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.loansDue:
		}
		tail.Sleep(ctx, loanDelay)
		if l.isAway() {
			// They are looked at again when the log answers.
			continue
		}
		if err := l.writeLoans(ctx); err != nil {
			l.log.Info("Loans of other hosts could not be claimed yet.", "partition", l.partition.Part, "cause", err.Error())
			l.mu.Lock()
			l.claimLoans()
			l.mu.Unlock()
		}
	}
}

// writeLoans appends the loans that the log does not hold.
func (l *ledger) writeLoans(ctx context.Context) error {
	if err := l.catchUp(ctx, 0); err != nil {
		return err
	}
	l.mu.Lock()
	claims := l.loans.UnrecordedClaims(l.book, maxBatch)
	l.mu.Unlock()
	if len(claims) == 0 {
		return nil
	}
	records, err := encodeAll(claims)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, lostAfter)
	defer cancel()
	offset, err := l.shared.Append(callCtx, l.partition, records)
	if err != nil {
		return err
	}
	l.log.Info("Claimed loans of other hosts.", "partition", l.partition.Part, "claims", len(claims), "offset", offset)
	if err := l.catchUp(ctx, offset+int64(len(claims))); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.loans.UnrecordedClaims(l.book, 1)) > 0 {
		// There are more than fit one append.
		l.claimLoans()
	}
	return nil
}
