package quota

import (
	"slices"
	"time"

	"github.com/juju/errors"

	core "yuccausher/internal/core/quota"
	"yuccausher/internal/port"
)

// maxLists is how many lists of hosts are kept, to find out since when this host is a coordinator. With
// one change a second, as in a rolling replacement, they reach back for longer than a bucket takes to
// fill.
const maxLists = 16

// hostList is the list of hosts from a time on.
type hostList struct {
	hosts []string
	from  time.Time
}

// hosts returns all hosts that may be coordinators, with this one.
func (s *Service) hosts() []string { return append(s.peers.Hosts(), s.peers.Self()) }

// candidates returns the hosts that may coordinate an organisation, the coordinators first, and the
// number of all hosts. Hosts of earlier builds are passed over. The caller holds s.mu.
func (s *Service) candidates(name string, now time.Time) ([]string, int) {
	hosts := s.hosts()
	n := len(hosts)
	if len(s.unsupported) > 0 {
		hosts = slices.DeleteFunc(hosts, func(host string) bool { return now.Before(s.unsupported[host]) })
	}
	return s.order.Order(name, hosts), n
}

// recordAnswer records whether a host has answered. The caller holds s.mu.
func (s *Service) recordAnswer(host string, err error) {
	if err == nil {
		s.paused.Succeeded(host)
		return
	}
	now := time.Now()
	s.metrics.unanswered.Inc(1)
	var unsupported *port.QuotaUnsupportedError
	if errors.As(err, &unsupported) {
		s.unsupported[host] = now.Add(unsupportedTime)
		s.log.Info("Host is of a build that does not judge limits of organisations.", "host", host)
		return
	}
	if !s.paused.IsPaused(host, now) {
		s.paused.Failed(host, now)
		s.log.Info("Host did not answer on limits of organisations; pausing it.", "host", host, "cause", err.Error())
	}
}

// updateHosts follows the list of hosts. The caller holds s.mu.
func (s *Service) updateHosts(now time.Time) {
	hosts := s.hosts()
	if len(s.lists) > 0 && slices.Equal(s.lists[0].hosts, hosts) {
		return
	}
	s.lists = slices.Insert(s.lists, 0, hostList{hosts: hosts, from: now})
	s.lists = s.lists[:min(len(s.lists), maxLists)]
	s.paused.Retain(hosts)
	for host, until := range s.unsupported {
		if now.After(until) {
			delete(s.unsupported, host)
		}
	}
	for name, c := range s.coordinated {
		c.SetHosts(hosts, now)
		s.setOther(name, c, now)
	}
}

// coordinatorSince returns since when this host is one of the coordinators of an organisation; the zero
// time if it is not. The caller holds s.mu.
func (s *Service) coordinatorSince(name string) time.Time {
	var since time.Time
	for _, l := range s.lists {
		if !slices.Contains(s.firstOf(name, l.hosts), s.peers.Self()) {
			break
		}
		since = l.from
	}
	return since
}

// setOther tells the state of an organisation which host is the other coordinator. The caller holds
// s.mu.
func (s *Service) setOther(name string, c *core.Coordinator, now time.Time) {
	coordinators, _ := s.candidates(name, now)
	coordinators = coordinators[:min(maxCoordinators, len(coordinators))]
	other := ""
	for _, host := range coordinators {
		if host != s.peers.Self() {
			other = host
		}
	}
	if !slices.Contains(coordinators, s.peers.Self()) {
		other = "" // this host is not one of the two, as it knows
	}
	c.SetOther(other)
}
