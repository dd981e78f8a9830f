package front

import (
	"sync/atomic"

	"yuccausher/internal/core/route"
	"yuccausher/internal/follow"
	"yuccausher/internal/spending"
)

// readiness knows whether the host can serve callers.
type readiness struct {
	follower *follow.Follower
	hosts    *follow.Hosts
	spending *spending.Service
	tables   *route.Holder
	leaving  atomic.Bool
}

func newReadiness(f *follow.Follower, h *follow.Hosts, s *spending.Service, t *route.Holder) *readiness {
	return &readiness{follower: f, hosts: h, spending: s, tables: t}
}

// isReady reports whether the host can serve callers.
func (r *readiness) isReady() bool { return r.notReadyReason() == "" }

// notReadyReason returns the reason why the host can't serve callers; empty if it can.
func (r *readiness) notReadyReason() string {
	switch {
	case r.leaving.Load():
		return "leaving"
	case r.tables.Current() == nil:
		return "no configuration"
	case r.follower.TargetsReadAt().IsZero():
		return "targets not read"
	case !r.hosts.IsKnown():
		return "hosts not read"
	case r.spending.IsIsolated():
		return "store and other hosts unreachable"
	}
	return ""
}
