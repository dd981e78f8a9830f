package spending

import (
	"context"
	"slices"
	"time"

	"yuccausher/internal/core/partition"
)

const (
	// readers is how many hosts of a partition's order read it before they
	// claim in it: the home, and those that lend when it is gone.
	readerCount = 3
	// readersInterval is how often a host looks whether it is among them. Hosts
	// that start together know each other by then.
	readerCheckInterval = 5 * time.Second
)

// part returns the partition that holds the claims of a program. All hosts must
// agree on the number of partitions.
func (s *Service) partitionOf(program string) int {
	return int(partition.OfKey(program, uint32(len(s.ledgers))))
}

// order returns the hosts in the order in which they claim and lend for the
// programs of a partition.
func (s *Service) hostOrder(part int) []string {
	if s.peers == nil {
		return nil
	}
	return s.orders.Order(part, append(s.peers.Hosts(), s.peers.Self()))
}

// homeOf returns a partition's home, and whether it is another host.
func (s *Service) preferredHost(part int) (string, bool) {
	order := s.hostOrder(part)
	if len(order) == 0 {
		return "", false
	}
	return order[0], order[0] != s.peers.Self()
}

// isReader says whether this host reads a partition from the start.
func (s *Service) isReader(part int) bool {
	order := s.hostOrder(part)
	return s.peers == nil || slices.Contains(order[:min(readerCount, len(order))], s.peers.Self())
}

// readParts reads the partitions for which this host may lend.
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

// readIfReader brings a partition up to date when the host becomes one of its
// readers. What is claimed later, it is told.
func (s *Service) updateReader(ctx context.Context, part int) {
	if !s.isReader(part) {
		s.ledgers[part].isCurrent.Store(false)
		return
	}
	l := s.startedLedger(part)
	if l.isCurrent.Load() || !l.isCatchingUp.CompareAndSwap(false, true) {
		return
	}
	s.done.Go(func() {
		defer l.isCatchingUp.Store(false)
		if l.isUnavailable() || l.readInitially(ctx) != nil {
			return
		}
		l.isCurrent.Store(true)
	})
}

// forgetReads makes the host read its partitions again before it lends.
func (s *Service) invalidateReads() {
	for _, l := range s.ledgers {
		l.isCurrent.Store(false)
	}
	s.log.Info("Process has stood still and lends nothing until it has read the log.")
}
