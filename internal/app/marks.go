package app

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/core/poison"
	"yuccausher/internal/membership"
	"yuccausher/internal/port"
)

const (
	// maxMarksPerMessage is the maximum number of crash marks in one heartbeat.
	maxMarksPerMessage = 16
	// crashNotifyTimeout bounds the wait until the other hosts have received a crash
	// mark.
	crashNotifyTimeout = time.Second
	// maxConcurrentNotifies is the maximum number of hosts that are notified at once.
	maxConcurrentNotifies = 32
)

// recentMarks returns the newest crash marks of this host's scheduler.
func (q *quarantine) recentMarks() []port.CrashMark {
	s := q.scheduler.Load()
	if s == nil {
		return nil
	}
	all := s.Marks()
	all = all[max(0, len(all)-maxMarksPerMessage):]
	marks := make([]port.CrashMark, 0, len(all))
	for _, m := range all {
		marks = append(marks, port.CrashMark{Fingerprint: m.Fingerprint, Target: m.Target, At: m.At})
	}
	return marks
}

// addMarks adds the crash marks received from another host.
func (q *quarantine) addMarks(marks []port.CrashMark) {
	s := q.scheduler.Load()
	if s == nil {
		return
	}
	for _, m := range marks {
		s.AddMarks(poison.Mark{Fingerprint: m.Fingerprint, Target: m.Target, At: m.At})
	}
}

// notifyCrash exchanges heartbeats with all live hosts, so that they receive a new
// crash mark before the content may run again.
func (q *quarantine) notifyCrash(poison.Mark) {
	members := q.members.Load()
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashNotifyTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotifies)
	for _, m := range members.Table() {
		if m.ID == members.Self().ID || m.State == port.MemberDead {
			continue
		}
		group.Go(func() error {
			_, err := members.Reach(ctx, m.ID)
			return err
		})
	}
	// Hosts that were not reached receive the mark with later heartbeats.
	_ = group.Wait()
}

// markingPeers adds crash marks to the heartbeats that this host sends.
type markingPeers struct {
	port.Peers
	quarantine *quarantine
}

// Gossip implements port.Peers.
func (p *markingPeers) Gossip(ctx context.Context, host string, g port.Gossip) (port.Gossip, error) {
	g.Marks = p.quarantine.recentMarks()
	reply, err := p.Peers.Gossip(ctx, host, g)
	if err == nil {
		p.quarantine.addMarks(reply.Marks)
	}
	return reply, err
}

// markingGossiper adds crash marks to the replies that this host sends to heartbeats.
type markingGossiper struct {
	*membership.Service
	quarantine *quarantine
}

var _ peer.Gossiper = (*markingGossiper)(nil)

// Receive implements peer.Gossiper.
func (g *markingGossiper) Receive(ctx context.Context, m port.Gossip) (port.Gossip, error) {
	g.quarantine.addMarks(m.Marks)
	reply, err := g.Service.Receive(ctx, m)
	reply.Marks = g.quarantine.recentMarks()
	return reply, err
}
