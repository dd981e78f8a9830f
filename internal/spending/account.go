package spending

import (
	"context"
	"math/rand/v2"
	"time"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// A host that asks another one for a reservation names a fresh writer for it, its account. The asked
// host claims the reservation under the account, so that the asking host can end the account itself if
// the asked one does not answer or has ended: no later claim of it counts, however late its append
// takes effect, and the claim that ends it may be appended by any host any number of times.

const (
	// endSequence is the sequence number of the claim by which the asking host ends an account.
	// Those of the asked host count from 1.
	endSequence = 1 << 63
	// endReceivers is how many hosts are told that an account has ended, so that it ends also
	// if the asking host does.
	endReceivers = 2
	// endCheckDelay is how long after that they are asked whether the log says so: a
	// loanClaimDelay, a read and an append.
	endCheckDelay = loanClaimDelay + preferredTimeout
	// maxEndPause bounds the pause between two such questions, which are repeated for
	// loanExpiry.
	maxEndPause = 8 * time.Second
)

// named returns the request with a new, random ID and account.
func named(r port.LendRequest) port.LendRequest {
	r.Reservation, r.Account = rand.Uint64(), max(rand.Uint64(), 1)
	return r
}

// endAccount ends the account of a reservation of which so many tokens were spent, in place of the
// asked host. It returns the claim that ends it, which is kept and passed on like a loan until the log
// contains it. It returns false if that was begun before.
func (s *Service) endAccount(host string, r port.LendRequest, spent int64) (budget.Claim, bool) {
	l := s.ledger(r.Program)
	c := budget.Claim{
		Writer: r.Account, Sequence: endSequence, Program: r.Program,
		Budget: r.Budget, Total: spent, Settled: true,
	}
	l.mu.Lock()
	isNew := l.loans.Add(c, time.Now())
	l.mu.Unlock()
	if isNew {
		l.metrics.endedAccounts.Inc(1)
		s.log.Info("Ending a reservation in place of the host that was asked for it.", "program", r.Program, "host", host,
			"reservation", r.Reservation, "account", r.Account, "reserved", r.MaxTokens, "spent", spent)
	}
	return c, isNew
}

// endUnused ends the account of a reservation that was not granted, without waiting.
func (s *Service) endUnused(host string, r port.LendRequest) {
	if c, isNew := s.endAccount(host, r, 0); isNew {
		s.run(func() { s.recordEnd(host, c) })
	}
}

// recordEnd passes on a claim that ends an account until a host has read it in the log. It returns
// false if none has within loanExpiry. Hosts that do not read the partition make no call for it as long
// as another host takes it on.
func (s *Service) recordEnd(asked string, c budget.Claim) bool {
	l := s.ledger(c.Program)
	pause := endCheckDelay
	for started := time.Now(); time.Since(started) < loanExpiry && s.ctx.Err() == nil; pause = min(2*pause, maxEndPause) {
		accepted, isRecorded := s.passOn(asked, c)
		if isRecorded || l.has(c) {
			l.mu.Lock()
			l.loans.Remove(c)
			l.mu.Unlock()
			return true
		}
		if accepted == 0 {
			s.startedLedger(l.partition.Part).claimLoans()
		}
		tail.Sleep(s.ctx, pause)
	}
	s.log.Info("No host has confirmed the end of a reservation; it may count as spent in full.", "program", c.Program,
		"account", c.Writer, "spent", c.Total)
	s.startedLedger(l.partition.Part).claimLoans()
	return false
}

// passOn tells endReceivers other hosts that read the partition of a claim that ends an account, but not
// the host that was asked. It returns how many have accepted it and whether one of them has read it
// in the log.
func (s *Service) passOn(asked string, c budget.Claim) (accepted int, isRecorded bool) {
	part := s.partitionOf(c.Program)
	order := s.hostOrder(part)
	for _, host := range order[:min(readerCount, len(order))] {
		if host == s.peers.Self() || host == asked || s.exclusions.isExcluded(host, allPartitions, time.Now()) {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, noteTimeout/readerCount)
		recorded, err := s.peers.Note(ctx, host, port.BudgetNote{Program: c.Program, Loans: []port.Loan{loanOf(c)}})
		cancel()
		if err != nil {
			s.log.V(1).Info("Note was not accepted.", "host", host, "program", c.Program, "cause", err.Error())
			continue
		}
		isRecorded = isRecorded || recorded
		if accepted++; accepted == endReceivers {
			break
		}
	}
	return accepted, isRecorded
}

// has reports whether the log contains a claim, as far as this host has read it.
func (l *ledger) has(c budget.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Has(c)
}

// claimLoans has the loans claimed that the log may not contain.
func (l *ledger) claimLoans() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isUnavailable() {
		l.signalLoansDue()
	}
}

// endings returns claims that end accounts of the programs of a batch and are not in the log as far
// as this host knows. Appended before the batch, they make room for its claims. The caller holds l.mu.
func (l *ledger) endings(batch []*pendingClaim) []*pendingClaim {
	var endings []*pendingClaim
	isDone := make(map[string]bool)
	for _, p := range batch {
		if isDone[p.claim.Program] {
			continue
		}
		isDone[p.claim.Program] = true
		for _, c := range l.loans.Of(p.claim.Program) {
			if c.Sequence == endSequence && !l.book.Has(c) && len(endings) < maxBatch {
				endings = append(endings, &pendingClaim{claim: c})
			}
		}
	}
	return endings
}

// mayHold reports whether claims of an account may hold tokens although nothing was reserved
// under it.
func (l *ledger) mayHold(program string, account uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slice(program, account)
	return s != nil && s.account != 0 && (s.isClaiming || s.isUndecided || s.Confirmed > 0)
}

// inAccounts returns what the accounts of the slice hold together. The caller holds the ledger's mu.
func (s *slice) inAccounts() budget.Slice {
	var sum budget.Slice
	for _, a := range s.accounts {
		sum.Confirmed += a.Confirmed
		sum.Spent += a.Spent
		sum.Open += a.Open
	}
	return sum
}
