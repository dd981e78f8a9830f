package conversation

import (
	"slices"
	"time"

	"yuccausher/internal/core/pause"
)

// Relays chooses the hosts that append turns on behalf of a host that has no path to
// the log. It answers the load of an outage that affects a part of the hosts: the first
// hosts in a partition's order may be cut off as well, so that failures are recorded
// for each host and the one that worked last is tried first. The zero value is ready
// for use. It is not safe for concurrent use.
type Relays struct {
	// last is the relay that succeeded last; empty if it has failed since.
	last   string
	paused pause.Hosts
}

// Choose returns up to limit of the hosts that may be asked now: first the one that
// succeeded last, then the others in their order. It returns none if all have failed
// recently.
func (r *Relays) Choose(hosts []string, now time.Time, limit int) []string {
	r.paused.Retain(hosts)
	chosen := make([]string, 0, limit)
	if r.last != "" && slices.Contains(hosts, r.last) {
		chosen = append(chosen, r.last)
	}
	for _, host := range hosts {
		if len(chosen) >= limit {
			break
		}
		if host != r.last && !r.paused.IsPaused(host, now) {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// Succeeded records that a host has appended a turn.
func (r *Relays) Succeeded(host string) {
	r.last = host
	r.paused.Succeeded(host)
}

// Failed records that a host could not append a turn.
func (r *Relays) Failed(host string, now time.Time) {
	if r.last == host {
		r.last = ""
	}
	r.paused.Failed(host, now)
}
