package sched

// Queued returns how many calls wait for a target at this host.
func (s *Scheduler) Queued() int {
	n := 0
	for _, p := range s.table.Load().pools {
		n += p.queueLength()
	}
	return n
}
