package spending

import (
	"context"
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
	// writer is that of the claims which hold the reservation; zero if it is not known or
	// no claim does.
	writer  uint64
	release sync.Once
	// settled is closed when what was spent is recorded.
	settled chan struct{}
}

// Spend implements gateway.Reservation.
func (b *borrowed) Spend(tokens int64) { b.spent += tokens }

// Release reports what was spent to the lender, without waiting. It implements
// gateway.Reservation. If no report arrives, the reservation counts as spent in full.
func (b *borrowed) Release() {
	b.release.Do(func() { b.service.done.Go(b.report) })
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
	for sent := 0; ; {
		writer, err := b.settle()
		var down *port.HostDownError
		if !errors.As(err, &down) {
			sent++
		}
		if err == nil {
			// If an earlier report was sent, the run that granted the reservation may have
			// recorded it before it ended.
			if sent == 1 && b.writer != 0 && writer != 0 && writer != b.writer {
				s.startedLedger(s.partitionOf(b.program)).giveBackForEndedHost(b)
			}
			close(b.settled)
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

func (b *borrowed) settle() (writer uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return b.service.peers.Settle(ctx, b.host, b.id, b.spent)
}

// givenBack is what a host has given back of a program's budget for hosts that ended.
type givenBack struct {
	tokens int64
	at     time.Time
}

// giveBackForEndedHost gives back the unspent tokens of a reservation whose lender has ended.
// The lender's claims hold all of the reservation and only its own run may lower them, since
// it may have claimed more in the meantime. The tokens are therefore subtracted under a writer
// that never claims any. Like a loan, the claim is passed on to other hosts until it is
// in the log.
func (l *ledger) giveBackForEndedHost(b *borrowed) {
	unspent := b.maxTokens - b.spent
	if unspent <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	g := givenBack{tokens: l.givenBack[b.program].tokens + unspent, at: now}
	l.givenBack[b.program] = g
	l.sequence++
	l.loans.Add(budget.Claim{
		Writer: l.giveBackWriter, Sequence: l.sequence, Program: b.program,
		Budget: b.budget, Total: -g.tokens, Settled: true,
	}, now)
	l.metrics.givenBack.Inc(unspent)
	l.log.Info("Giving back tokens that were reserved at a host which has ended.", "program", b.program, "host", b.host,
		"reservation", b.id, "reserved", b.maxTokens, "spent", b.spent, "writer", b.writer)
	if !l.isUnavailable() {
		l.signalLoansDue()
	}
}
