package conversation

import (
	"slices"
	"time"
)

const (
	// minRelayPause and maxRelayPause bound how long a relay is not asked again after
	// a failure. The pause doubles with each further failure.
	minRelayPause = 300 * time.Millisecond
	maxRelayPause = 2400 * time.Millisecond
)

// Relays chooses the hosts that append turns on behalf of a host that has no path to
// the log. It answers the load of an outage that affects a part of the hosts: the first
// hosts in a partition's order may be cut off as well, so that failures are recorded
// for each host and the one that worked last is tried first. The zero value is ready
// for use.
type Relays struct {
	// last is the relay that succeeded last; empty if it has failed since.
	last   string
	paused map[string]relayPause
}

// relayPause is the time until which a relay is not asked.
type relayPause struct {
	until    time.Time
	duration time.Duration
}

// Choose returns up to limit of the hosts that may be asked now: first the one that
// succeeded last, then the others in their order. It returns none if all have failed
// recently.
func (r *Relays) Choose(hosts []string, now time.Time, limit int) []string {
	chosen := make([]string, 0, limit)
	if r.last != "" && slices.Contains(hosts, r.last) {
		chosen = append(chosen, r.last)
	}
	for _, host := range hosts {
		if len(chosen) >= limit {
			break
		}
		if host != r.last && !now.Before(r.paused[host].until) {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// Succeeded records that a host has appended a turn.
func (r *Relays) Succeeded(host string) {
	r.last = host
	delete(r.paused, host)
}

// Failed records that a host could not append a turn.
func (r *Relays) Failed(host string, now time.Time) {
	if r.last == host {
		r.last = ""
	}
	if r.paused == nil {
		r.paused = make(map[string]relayPause)
	}
	if now.Before(r.paused[host].until) {
		// Several requests were in progress when the host failed.
		return
	}
	pause := min(max(2*r.paused[host].duration, minRelayPause), maxRelayPause)
	r.paused[host] = relayPause{until: now.Add(pause), duration: pause}
}

// Retain drops the records of all hosts that are not listed.
func (r *Relays) Retain(hosts []string) {
	for host := range r.paused {
		if !slices.Contains(hosts, host) {
			delete(r.paused, host)
		}
	}
}
