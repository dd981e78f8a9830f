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
	// marksPerMessage bounds the crash marks of one heartbeat.
	marksPerMessage = 16
	// markTimeout bounds the wait until the other hosts know of a crash.
	markTimeout = time.Second
	// markPushes bounds the hosts that are told at a time.
	markPushes = 32
)

// recentMarks returns the newest crash marks of this host's scheduler.
func (q *quarantine) recentMarks() []port.CrashMark {
	s := q.registry.Load()
	if s == nil {
		return nil
	}
	all := s.Marks()
	all = all[max(0, len(all)-marksPerMessage):]
	marks := make([]port.CrashMark, 0, len(all))
	for _, m := range all {
		marks = append(marks, port.CrashMark{Fingerprint: m.Fingerprint, Target: m.Target, At: m.At})
	}
	return marks
}

// learnMarks takes over the crash marks of another host.
func (q *quarantine) learnMarks(marks []port.CrashMark) {
	s := q.registry.Load()
	if s == nil {
		return
	}
	for _, m := range marks {
		s.AddMarks(poison.Mark{Fingerprint: m.Fingerprint, Target: m.Target, At: m.At})
	}
}

// crashed tells all live hosts of a crash before the content may run again.
func (q *quarantine) crashed(poison.Mark) {
	members := q.members.Load()
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	var pushes errgroup.Group
	pushes.SetLimit(markPushes)
	for _, m := range members.Table() {
		if m.ID == members.Self().ID || m.State == port.MemberDead {
			continue
		}
		pushes.Go(func() error {
			_, err := members.Reach(ctx, m.ID)
			return err
		})
	}
	// A host that was not reached learns of it by later heartbeats.
	_ = pushes.Wait()
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
		p.quarantine.learnMarks(reply.Marks)
	}
	return reply, err
}

// markingGossiper adds crash marks to the heartbeats that this host answers.
type markingGossiper struct {
	*membership.Service
	quarantine *quarantine
}

var _ peer.Gossiper = (*markingGossiper)(nil)

// Receive implements peer.Gossiper.
func (g *markingGossiper) Receive(ctx context.Context, m port.Gossip) (port.Gossip, error) {
	g.quarantine.learnMarks(m.Marks)
	reply, err := g.Service.Receive(ctx, m)
	reply.Marks = g.quarantine.recentMarks()
	return reply, err
}
