package entry

import (
	"context"
	"sort"

	"yuccausher/internal/port"
)

// HostLostError says that a host was found dead or restarted while a request
// was at it.
type HostLostError struct {
	Host string
}

// Error implements error.
func (e *HostLostError) Error() string { return "host " + e.Host + " was lost" }

// findMember returns a host's row in the membership table.
func findMember(members port.Members, host string) (port.Member, bool) {
	table := members.Table()
	i := sort.Search(len(table), func(i int) bool { return table[i].ID >= host })
	if i < len(table) && table[i].ID == host {
		return table[i], true
	}
	return port.Member{}, false
}

// isPresent says whether a host is known and not dead.
func isPresent(members port.Members, host string) bool {
	m, ok := findMember(members, host)
	return ok && m.State != port.MemberDead
}

// aliveHosts returns the IDs of the hosts that may own partitions.
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

// contextWhileAlive returns a context that ends when host is found dead or
// restarted. The function that it returns must be called.
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
