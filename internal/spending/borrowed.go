package spending

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

const (
	// settleTimeout bounds one report of what a borrowed reservation spent.
	settleTimeout = time.Second
	// settleAttempts is how often the report is sent, over about 4 s.
	settleAttempts = 8
	// maxSettlePause bounds the pause between two reports.
	maxSettlePause = time.Second
	// giveBackPollInterval is how often a host checks whether the log contains what it gives
	// back for another.
	giveBackPollInterval = 20 * time.Millisecond
)

// borrowed is a reservation granted by another host. It implements
// gateway.Reservation.
type borrowed struct {
	service           *Service
	host              string
	id                uint64
	program           string
	budget, maxTokens int64
	spent             int64
	// writer is that of the claims which hold the reservation; zero if it is not known.
	writer uint64
	// account is the writer that this host has named for the reservation, if its claims hold it; zero
	// otherwise.
	account uint64
	// loan is set if a loan may hold it.
	loan    *port.Loan
	release sync.Once
	// settled is closed when what was spent is recorded.
	settled chan struct{}
}

// identify takes from the answer of the lender how large the reservation is and which claims hold it.
func (b *borrowed) identify(answer port.LendAnswer, mayBeLoan bool) {
	b.writer, b.account = answer.Writer, answer.Account
	if answer.Granted > 0 {
		b.maxTokens = min(b.maxTokens, answer.Granted)
	}
	if !mayBeLoan || b.account != 0 {
		return
	}
	i := slices.IndexFunc(answer.Loans, func(l port.Loan) bool { return l.Writer == answer.Writer })
	if i < 0 {
		b.writer = 0
		return
	}
	b.loan = &answer.Loans[i]
}

// Limit implements gateway.Reservation.
func (b *borrowed) Limit() int64 { return b.maxTokens }

// Spend implements gateway.Reservation.
func (b *borrowed) Spend(tokens int64) { b.spent += tokens }

// Release reports what was spent to the lender, without waiting. It implements
// gateway.Reservation. If no report arrives, the reservation counts as spent in full.
func (b *borrowed) Release() {
	b.release.Do(func() { b.service.run(b.report) })
}

// Settle implements gateway.Reservation.
func (b *borrowed) Settle(ctx context.Context) error {
	b.Release()
	select {
	case <-b.settled:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// report reports what was spent until the lender has recorded it. A lender that accepts no
// connection may be starting again; its new run does not know the reservation, and the
// tokens are then given back here.
func (b *borrowed) report() {
	s := b.service
	started := time.Now()
	pause := firstRetry
	// sent counts the reports that may have reached the host, firstSent is when the first of them was
	// sent.
	var firstSent time.Time
	for sent := 0; ; {
		sending := time.Now()
		run, err := b.settle()
		var down *port.HostDownError
		if !errors.As(err, &down) {
			if sent++; sent == 1 {
				firstSent = sending
			}
		}
		if err == nil {
			// A run that served before the first report was sent has got all of them.
			isOnly := sent == 1 || !run.StartedAt.IsZero() && run.StartedAt.Before(firstSent)
			b.finish(run.Writer, isOnly)
			return
		}
		if b.account != 0 && (down != nil || sent == settleAttempts) && s.ctx.Err() == nil {
			b.endAccount()
			return
		}
		if sent == settleAttempts || time.Since(started) > loanExpiry || s.ctx.Err() != nil {
			s.log.Info("Settling a reservation failed; it counts as spent in full unless its lender has the report.", "host", b.host, "reservation", b.id,
				"program", b.program, "spent", b.spent, "reports", sent, "for", time.Since(started).String(), "cause", err.Error())
			return
		}
		tail.Sleep(s.ctx, pause)
		pause = min(2*pause, maxSettlePause)
	}
}

// finish ends the settlement after writer has answered a report. The run that granted the reservation
// has ended if it is another one. Unless the answering run is the only one that any report can have
// reached, the ended one may have recorded what was spent, and nothing is given back for it.
func (b *borrowed) finish(writer uint64, isOnly bool) {
	if b.account != 0 && writer != b.writer {
		b.endAccount()
		return
	}
	hasLenderEnded := b.writer != 0 && writer != 0 && writer != b.writer
	if hasLenderEnded && isOnly && !b.giveBackForEndedHost() {
		b.service.log.Info("Unspent tokens of a host that ended could not be given back; the reservation counts as spent in full.",
			"host", b.host, "reservation", b.id, "program", b.program, "reserved", b.maxTokens, "spent", b.spent)
		return
	}
	close(b.settled)
}

// endAccount records what was spent in place of the lender, which may have ended. It does not matter
// whether the lender has recorded it too.
func (b *borrowed) endAccount() {
	s := b.service
	c, _ := s.endAccount(b.host, port.LendRequest{
		Reservation: b.id, Account: b.account, Program: b.program, Budget: b.budget, MaxTokens: b.maxTokens,
	}, b.spent)
	if s.recordEnd(b.host, c) {
		close(b.settled)
	}
}

func (b *borrowed) settle() (port.HostRun, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return b.service.peers.Settle(ctx, b.host, b.id, b.spent)
}

// givenBack is what a host has given back of a program's budget for hosts that ended.
type givenBack struct {
	tokens int64
	at     time.Time
}

// giveBackForEndedHost gives back the unspent tokens and waits until the log contains the claim.
// It returns false if that takes too long.
func (b *borrowed) giveBackForEndedHost() bool {
	s := b.service
	l := s.startedLedger(s.partitionOf(b.program))
	if b.loan != nil && !l.awaitClaim(s.ctx, budget.Claim{Program: b.program, Writer: b.loan.Writer, Sequence: b.loan.Sequence}) {
		// Nothing may be subtracted from a loan that the log does not count.
		return false
	}
	c, isNeeded := l.subtractUnspent(b)
	if !isNeeded {
		return true
	}
	s.notify(port.BudgetNote{Program: b.program, Loans: l.loansOf(b.program)}, loanReceivers)
	return l.awaitClaim(s.ctx, c)
}

// awaitClaim waits until the log contains a claim or a later one of its writer, as far as this
// host has read. It returns false if that takes longer than loanExpiry.
func (l *ledger) awaitClaim(ctx context.Context, c budget.Claim) bool {
	for started := time.Now(); time.Since(started) < loanExpiry && ctx.Err() == nil; tail.Sleep(ctx, giveBackPollInterval) {
		if l.has(c) {
			return true
		}
	}
	return false
}

// subtractUnspent makes a claim that gives back the unspent tokens of a reservation whose lender
// has ended. It returns false if there are none.
//
// The lender's claims hold all of the reservation and only its own run may lower them, since
// it may have claimed more in the meantime. The tokens are therefore subtracted under a writer
// that never claims any. Like a loan, the claim is passed on to other hosts until it is
// in the log.
func (l *ledger) subtractUnspent(b *borrowed) (budget.Claim, bool) {
	unspent := b.maxTokens - b.spent
	if unspent <= 0 {
		return budget.Claim{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	g := givenBack{tokens: l.givenBack[b.program].tokens + unspent, at: now}
	l.givenBack[b.program] = g
	l.sequence++
	c := budget.Claim{
		Writer: l.giveBackWriter, Sequence: l.sequence, Program: b.program,
		Budget: b.budget, Total: -g.tokens, Settled: true,
	}
	l.loans.Add(c, now)
	l.metrics.givenBack.Inc(unspent)
	l.log.Info("Giving back tokens that were reserved at a host which has ended.", "program", b.program, "host", b.host,
		"reservation", b.id, "reserved", b.maxTokens, "spent", b.spent, "writer", b.writer)
	if !l.isUnavailable() {
		l.signalLoansDue()
	}
	return c, true
}
