package sched

// Queued returns the number of calls that wait for a target at this host.
func (s *Scheduler) Queued() int {
	n := 0
	for _, p := range s.table.Load().pools {
		n += p.queueLength()
	}
	return n
}
