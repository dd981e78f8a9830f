// Package pause keeps hosts that have failed requests from being asked again at once.
package pause

import (
	"slices"
	"time"
)

const (
	// minPause and maxPause bound how long a host is not asked again after a failure.
	// The pause doubles with each further failure.
	minPause = 300 * time.Millisecond
	maxPause = 2400 * time.Millisecond
)

// Hosts holds the hosts that are paused. The zero value holds none. It is not safe for
// concurrent use.
type Hosts struct {
	byHost map[string]interval
}

// interval is a pause of a host.
type interval struct {
	until    time.Time
	duration time.Duration
}

// IsPaused reports whether a host is not to be asked now.
func (h *Hosts) IsPaused(host string, now time.Time) bool { return now.Before(h.byHost[host].until) }

// Succeeded records that a host has done what it was asked.
func (h *Hosts) Succeeded(host string) { delete(h.byHost, host) }

// Failed records that a host has not. Failures of requests that were sent before the
// pause began do not prolong it.
func (h *Hosts) Failed(host string, now time.Time) {
	if h.byHost == nil {
		h.byHost = make(map[string]interval)
	}
	if h.IsPaused(host, now) {
		return
	}
	duration := min(max(2*h.byHost[host].duration, minPause), maxPause)
	h.byHost[host] = interval{until: now.Add(duration), duration: duration}
}

// Retain drops the records of all hosts that are not listed.
func (h *Hosts) Retain(hosts []string) {
	for host := range h.byHost {
		if !slices.Contains(hosts, host) {
			delete(h.byHost, host)
		}
	}
}
