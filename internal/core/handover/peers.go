// Package handover decides which host takes a request of a host without a path to the targets,
// and whether a host takes one. It performs no I/O.
//
// The load that it answers: most hosts lose their paths at once, so that the requests of all of
// them come to the few others, within a second.
package handover

import (
	"slices"
	"time"
)

const (
	// declineTTL is how long a host that took no request is not asked again.
	declineTTL = time.Second
	// minUnreachableTTL is the same for a host that gave no decision, as one that is slow for a
	// moment. It doubles each time up to maxUnreachableTTL, as for an old host, which never
	// gives one.
	minUnreachableTTL = 200 * time.Millisecond
	maxUnreachableTTL = 5 * time.Second
	// maxTries is how many times in a row a host may give no decision before it is no longer
	// asked while it is skipped.
	maxTries = 3
	// maxPreferred is how many hosts requests are spread over once they have taken some. It
	// bounds the connections between hosts.
	maxPreferred = 4
)

// Peers holds what a host knows of the hosts that may take its requests. It is not safe for
// concurrent use.
type Peers struct {
	// random returns a number in [0, n).
	random func(n int) int
	// skippedUntil holds the hosts that are not asked for a while.
	skippedUntil map[string]time.Time
	// failures counts how often in a row a host has given no decision.
	failures map[string]int
	// preferred holds the hosts that have taken requests.
	preferred []string
	// inProgress counts the requests at each host.
	inProgress map[string]int
}

// NewPeers returns an empty set. random returns a number in [0, n).
func NewPeers(random func(n int) int) *Peers {
	return &Peers{random: random, skippedUntil: make(map[string]time.Time), failures: make(map[string]int), inProgress: make(map[string]int)}
}

// Choose returns the host to ask next among the known hosts, without those that were asked for
// the request already. It returns false if there is none.
func (p *Peers) Choose(known []string, asked func(string) bool, now time.Time) (string, bool) {
	var best string
	isFound := false
	for _, host := range p.preferred {
		if asked(host) || p.isSkipped(host, now) || !slices.Contains(known, host) {
			continue
		}
		if !isFound || p.inProgress[host] < p.inProgress[best] {
			best, isFound = host, true
		}
	}
	if isFound && len(p.preferred) >= maxPreferred {
		return best, true
	}
	// Other hosts are asked until enough have taken requests, so that they share the load.
	if isFound && p.inProgress[best] == 0 {
		return best, true
	}
	others := make([]string, 0, len(known))
	for _, host := range known {
		if !asked(host) && !p.isSkipped(host, now) && !slices.Contains(p.preferred, host) {
			others = append(others, host)
		}
	}
	switch {
	case len(others) > 0:
		return others[p.random(len(others))], true
	case isFound:
		return best, true
	}
	return p.leastSkipped(known, asked, now)
}

// leastSkipped returns the host that is skipped for the shortest time of those that have given no
// decision lately: with nobody else left, one that was slow for a moment is worth a try.
func (p *Peers) leastSkipped(known []string, asked func(string) bool, now time.Time) (string, bool) {
	best := ""
	for _, host := range known {
		if asked(host) || p.failures[host] == 0 || p.failures[host] > maxTries || !p.isSkipped(host, now) {
			continue
		}
		if best == "" || p.skippedUntil[host].Before(p.skippedUntil[best]) {
			best = host
		}
	}
	return best, best != ""
}

func (p *Peers) isSkipped(host string, now time.Time) bool { return now.Before(p.skippedUntil[host]) }

// Taken records that a host has taken a request. Ended must be called when it has ended.
func (p *Peers) Taken(host string) {
	p.inProgress[host]++
	delete(p.failures, host)
	delete(p.skippedUntil, host)
	if !slices.Contains(p.preferred, host) {
		p.preferred = append(p.preferred, host)
		if len(p.preferred) > maxPreferred {
			p.preferred = p.preferred[1:]
		}
	}
}

// Ended records that a request that a host had taken has ended.
func (p *Peers) Ended(host string) {
	if p.inProgress[host]--; p.inProgress[host] <= 0 {
		delete(p.inProgress, host)
	}
}

// Declined records that a host took no request.
func (p *Peers) Declined(host string, now time.Time) {
	delete(p.failures, host)
	p.skip(host, now, declineTTL)
}

// Unreachable records that a host gave no decision.
func (p *Peers) Unreachable(host string, now time.Time) {
	p.skip(host, now, min(minUnreachableTTL<<min(p.failures[host], 8), maxUnreachableTTL))
	p.failures[host]++
}

func (p *Peers) skip(host string, now time.Time, ttl time.Duration) {
	for h, until := range p.skippedUntil {
		if now.Sub(until) > maxUnreachableTTL {
			delete(p.skippedUntil, h)
			delete(p.failures, h)
		}
	}
	p.skippedUntil[host] = now.Add(ttl)
	if i := slices.Index(p.preferred, host); i >= 0 {
		p.preferred = slices.Delete(p.preferred, i, i+1)
	}
}
