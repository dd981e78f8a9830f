package spending

import (
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/partition"
)

const (
	// readerCount is how many hosts of a partition's order read it before they claim
	// in it: the preferred host and those that lend if it fails.
	readerCount = 3
	// readerCheckInterval is how often a host checks whether it is one of these.
	// Hosts that start together have learned of each other by then.
	readerCheckInterval = 5 * time.Second
)

// partitionOf returns the partition that holds the claims of a program. All hosts
// must agree on the number of partitions.
func (s *Service) partitionOf(program string) int {
	return int(partition.OfKey(program, uint32(len(s.ledgers))))
}

// hostOrder returns the hosts in the order in which they claim and lend for the
// programs of a partition; nil without other hosts.
func (s *Service) hostOrder(part int) []string {
	if s.peers == nil {
		return nil
	}
	return s.orders.Order(part, append(s.peers.Hosts(), s.peers.Self()))
}

// preferredHost returns the preferred host of a partition, and whether it is another
// host than this one.
func (s *Service) preferredHost(part int) (string, bool) {
	order := s.hostOrder(part)
	if len(order) == 0 {
		return "", false
	}
	return order[0], order[0] != s.peers.Self()
}

// isReader reports whether this host reads a partition from the start, before it
// claims in it.
func (s *Service) isReader(part int) bool {
	order := s.hostOrder(part)
	return s.peers == nil || slices.Contains(order[:min(readerCount, len(order))], s.peers.Self())
}

// runReaders checks at intervals of which partitions this host is a reader, until ctx
// ends.
func (s *Service) runReaders(ctx context.Context) {
	ticker := time.NewTicker(readerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for part := range s.ledgers {
			s.updateReader(ctx, part)
		}
	}
}

// updateReader reads a partition to its end when the host becomes one of its readers.
// Of later claims it is notified by other hosts.
func (s *Service) updateReader(ctx context.Context, part int) {
	if !s.isReader(part) {
		s.ledgers[part].isCurrent.Store(false)
		s.ledgers[part].unfollow()
		return
	}
	l := s.startedLedger(part)
	if l.isCurrent.Load() || !l.isCatchingUp.CompareAndSwap(false, true) {
		return
	}
	s.run(func() {
		defer l.isCatchingUp.Store(false)
		if l.isUnavailable() || l.readInitially(ctx) != nil {
			return
		}
		if l.isInDoubt() {
			l.learnLoans(ctx)
		}
		l.isCurrent.Store(true)
	})
}

// invalidateReads makes the host read its partitions again before it lends, because
// it may have missed notes.
func (s *Service) invalidateReads() {
	for _, l := range s.ledgers {
		l.isCurrent.Store(false)
		l.unfollow()
		l.unfence()
	}
	s.log.Info("Process was paused; not lending until the log has been read again.")
}
