package spending

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
)

// While the log is unavailable, only some hosts know of a loan. If all of them end before the log is
// back, it is forgotten. docs/design/forgotten-loans.md has the ways weighed.
//
// A reader of a partition follows it: it is told of the loans there. Its appends carry a mark: the time,
// and since when it has followed. A host that reads the log sees from the marks whether some host has
// followed the partition all the time. After a longer gap all programs of the partition are in doubt, also
// those that the log does not know, since they may have begun in it: of their budgets less may be claimed
// and nothing lent, until a reader that has followed the partition all the while passes on what it knows.

const (
	// largeLoanDelay is for how long no host must have marked a partition before more than one turn's tokens
	// are lent of a budget. It exceeds maxGap by the error of the hosts' clocks.
	largeLoanDelay = maxGap + 500*time.Millisecond
	// markInterval is how often a partition is marked in which nothing else is appended.
	markInterval = time.Second
	// answeredLately is how long ago the log must have answered this host to count as available without a probe.
	answeredLately = 500 * time.Millisecond
	// markTimeout bounds the append of a mark. A later one makes up for it.
	markTimeout = 300 * time.Millisecond
	// roleCheckInterval is how often a host looks whether it is a reader of a partition, or its preferred
	// host, to mark it.
	roleCheckInterval = 500 * time.Millisecond
	// learnInterval is how often other readers are asked for the loans that they know.
	learnInterval = 500 * time.Millisecond
	// doubtRetryAfter is sent to callers of a program in doubt of whose budget no more may be claimed. A
	// reader that is not reached at present may end the doubt.
	doubtRetryAfter = time.Second
)

// errInDoubt says that loans of the program may have been forgotten.
var errInDoubt = errors.New("loans of an earlier outage may have been forgotten")

// role is this host's place in the order of a partition, as of the latest check.
type role struct{ isPreferred, isReader atomic.Bool }

// updateRoles finds out this host's place in the order of each partition, once per roleCheckInterval. After a
// start it waits until other hosts are known.
func (s *Service) updateRoles(now time.Time) {
	if now.Sub(s.rolesAt) < roleCheckInterval {
		return
	}
	s.rolesAt = now
	var hosts []string
	if s.peers != nil {
		hosts = s.peers.Hosts()
		if len(hosts) == 0 && now.Sub(s.startedAt) < readerCheckInterval {
			return
		}
		hosts = append(hosts, s.peers.Self())
	}
	for part, l := range s.ledgers {
		isPreferred, isReader := true, true
		if s.peers != nil {
			order := s.orders.Order(part, hosts)
			isPreferred = order[0] == s.peers.Self()
			isReader = slices.Contains(order[:min(readerCount, len(order))], s.peers.Self())
		}
		l.role.isPreferred.Store(isPreferred)
		l.role.isReader.Store(isReader)
	}
}

// follow begins to follow the partition if this host is one of its readers. The caller holds l.mu and
// has read the partition to its end.
func (l *ledger) follow() {
	f := &l.following
	if f.isActive || !l.role.isReader.Load() {
		return
	}
	f.start()
	if f.isInDoubt(f.now()) {
		l.log.Info("No host has marked the partition for a while; loans may have been forgotten.", "partition", l.partition.Part,
			"marked_until", f.gapFrom, "doubt_until", f.doubtUntil)
	}
}

// unfollow makes the host read the partition again before it follows it.
func (l *ledger) unfollow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.following.stop(l.following.now())
}

// newMark returns the mark of an append; the zero mark if this host is not told of the partition's loans, or if lenders may
// rely on it not reaching the log.
func (l *ledger) newMark() mark {
	if !l.role.isReader.Load() {
		return mark{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mayMark {
		return mark{}
	}
	l.newestMark = time.Now()
	return mark{at: l.following.now(), since: l.following.since}
}

// isInDoubt reports whether loans may have been forgotten, as far as this host knows. One that does not
// follow the partition goes by the latest mark.
func (l *ledger) isInDoubt() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.following.now()
	return l.following.isInDoubt(now) || !l.following.isActive && l.following.hasGap(now)
}

// hasNoMarks reports whether this host has read no mark yet, as before its first read of the partition.
func (l *ledger) hasNoMarks() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.following.isActive && l.following.coveredUntil.IsZero()
}

// claimableBudget returns how much of a program's budget may be claimed in all, and whether the rest may be
// in doubt. It asks the other readers if a turn of maxTokens does not fit what is certain.
func (l *ledger) claimableBudget(ctx context.Context, program string, total, maxTokens int64) (claimable int64, inDoubt bool) {
	certain := budget.CertainBudget(maxTokens, total)
	switch isInDoubt := l.isInDoubt(); {
	case certain == total || !isInDoubt && !l.hasNoMarks():
		return total, false
	case isInDoubt && l.claimed(program)+maxTokens > certain && l.learnLoans(ctx):
		return total, false
	}
	return certain, true
}

// learnLoans asks the other readers of a partition for the loans that they know, once per learnInterval. It
// reports whether one of them has followed the partition so long that none is in doubt.
func (s *Service) learnLoans(ctx context.Context, l *ledger) bool {
	if s.peers == nil || !l.mayAskForLoans(time.Now()) {
		return false
	}
	part, self := l.partition.Part, s.peers.Self()
	order := s.hostOrder(part)
	for _, host := range order[:min(readerCount, len(order))] {
		if host == self || s.exclusions.isExcluded(host, allPartitions, time.Now()) {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, preferredTimeout)
		known, err := s.peers.KnownLoans(askCtx, host, part)
		cancel()
		if err != nil {
			s.log.V(1).Info("Host did not say which loans it knows.", "host", host, "partition", part, "cause", err.Error())
			continue
		}
		if known.Since.IsZero() {
			continue
		}
		for _, loan := range known.Loans {
			l.addLoans(loan.Program, []port.Loan{loan.Loan})
		}
		l.mu.Lock()
		isCertain := l.following.adopt(mark{at: l.following.now(), since: known.Since})
		l.mu.Unlock()
		if isCertain {
			s.metrics.learned.Inc(1)
			s.log.Info("Another host knows the loans of a partition.", "host", host, "partition", part, "since", known.Since, "loans", len(known.Loans))
			return true
		}
	}
	s.metrics.inDoubt.Inc(1)
	s.log.Info("No reader of a partition knows all loans; some may have been forgotten.", "partition", part)
	return false
}

// mayAskForLoans reports whether no other host has been asked within learnInterval.
func (l *ledger) mayAskForLoans(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.askedAt) < learnInterval {
		return false
	}
	l.askedAt = now
	return true
}

// KnownLoans implements port.BudgetServer.
func (s *Service) KnownLoans(part int) port.KnownLoans {
	if part < 0 || part >= len(s.ledgers) {
		return port.KnownLoans{}
	}
	l := s.ledgers[part]
	if !l.isCurrent.Load() || s.pauses.isPaused(time.Now()) {
		return port.KnownLoans{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.following.isActive || l.following.isInDoubt(l.following.now()) {
		return port.KnownLoans{}
	}
	return port.KnownLoans{Since: l.following.since, Loans: l.unrecordedLoans()}
}

// markIfIdle marks the partition if this host is its preferred host and nothing has been appended for
// markInterval. After a start each reader marks it once, since one append may be lost just when all hosts fall again.
func (l *ledger) markIfIdle(ctx context.Context, now time.Time, run func(func())) {
	if !l.role.isReader.Load() || l.isUnavailable() {
		return
	}
	l.mu.Lock()
	isOwn := l.role.isPreferred.Load() || l.markedAt.IsZero()
	isDue := isOwn && !l.isMarking && now.Sub(l.markedAt) > markInterval
	if isDue {
		l.isMarking = true
	}
	l.mu.Unlock()
	if isDue {
		run(func() { l.appendMark(ctx) })
	}
}

// appendMark appends a claim that changes nothing, for its mark.
func (l *ledger) appendMark(ctx context.Context) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isMarking = false
	}()
	ctx, cancel := context.WithTimeout(port.InBackground(ctx), markTimeout)
	defer cancel()
	if !l.fenceForMark(ctx) {
		return
	}
	m := l.newMark()
	if m.at.IsZero() {
		return
	}
	record, err := encode(budget.Claim{Writer: l.writer}, m)
	if err != nil {
		l.log.Error(err, "Mark can't be encoded.", "partition", l.partition.Part)
		return
	}
	offset, err := l.shared.Append(ctx, l.partition, [][]byte{record})
	if err != nil {
		l.log.V(1).Info("Partition could not be marked.", "partition", l.partition.Part, "cause", err.Error())
		return
	}
	l.metrics.marks.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marked(m)
	if offset == l.applied {
		l.applied++
	}
}

// fenceForMark fences the lenders if this host may have missed an outage. It returns false if the log does not answer: a
// fence of a host that does not reach it would only keep the lenders from lending.
func (l *ledger) fenceForMark(ctx context.Context) bool {
	l.mu.Lock()
	mayMark := l.mayMark
	l.mu.Unlock()
	if mayMark {
		return true
	}
	if !l.availability.hasAnsweredSince(time.Now().Add(-answeredLately)) && l.probeInTurn(ctx) != nil {
		return false
	}
	_, ok := l.prepareToClaim(ctx)
	return ok
}

// probeInTurn reads one page, of as many partitions at a time as are read after a start.
func (l *ledger) probeInTurn(ctx context.Context) error {
	select {
	case l.initialReadSlots <- struct{}{}:
		defer func() { <-l.initialReadSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.probe(ctx)
}

// marked notes that this host has appended a mark. The caller holds l.mu.
func (l *ledger) marked(m mark) {
	l.markedAt = time.Now()
	if l.following.isActive {
		l.following.observe(m)
	}
}
