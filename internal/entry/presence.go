package entry

import (
	"context"
	"sort"

	"yuccausher/internal/port"
)

// HostLostError is the cause of a cancelled request whose host was found dead or restarted
// in the meantime.
type HostLostError struct {
	Host string
}

// Error implements error.
func (e *HostLostError) Error() string { return "host " + e.Host + " is dead or has restarted" }

// findMember returns a host's entry in the membership table, which is sorted by ID.
func findMember(members port.Members, host string) (port.Member, bool) {
	table := members.Table()
	i := sort.Search(len(table), func(i int) bool { return table[i].ID >= host })
	if i < len(table) && table[i].ID == host {
		return table[i], true
	}
	return port.Member{}, false
}

// isPresent reports whether a host is in the membership table and not dead.
func isPresent(members port.Members, host string) bool {
	m, ok := findMember(members, host)
	return ok && m.State != port.MemberDead
}

// aliveHosts returns the IDs of the alive hosts, which may own partitions.
func aliveHosts(members port.Members) []string {
	table := members.Table()
	ids := make([]string, 0, len(table))
	for _, m := range table {
		if m.State == port.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// contextWhileAlive returns a context that is cancelled with a HostLostError when host is
// found dead or restarted. The returned function releases it and must be called.
func (r *Router) contextWhileAlive(ctx context.Context, host string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	before, _ := findMember(r.members, host)
	go func() {
		for {
			changed := r.members.Changed()
			m, ok := findMember(r.members, host)
			if !ok || m.State == port.MemberDead || m.Incarnation != before.Incarnation {
				cancel(&HostLostError{Host: host})
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}
