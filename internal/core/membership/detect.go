package membership

import (
	"time"

	"yuccausher/internal/port"
)

// detect checks the watched neighbours. It suspects and probes silent ones and
// declares them dead after DeadAfter.
func (c *Core) detect(now time.Time) {
	isProbing := !now.Before(c.nextProbe)
	probed := false
	for _, r := range c.watched {
		silence := r.silence(now, c.settings.watchGrace())
		if silence < c.settings.SuspectAfter || r.dead {
			continue
		}
		c.markSuspect(r, now)
		if c.isDead(r, now) {
			c.stats.Deaths++
			c.markDead(r, now)
			continue
		}
		if isProbing {
			c.probe(r, now)
			probed = true
		}
	}
	if probed {
		c.nextProbe = now.Add(c.settings.ProbeInterval)
	}
}

func (c *Core) markSuspect(r *row, now time.Time) {
	if r.suspect {
		return
	}
	c.stats.Suspicions++
	r.suspect = true
	r.since = now
	c.changed = true
}

// probe contacts a suspect directly and asks its other watchers whether they had
// contact more recently. After IndirectAfter without contact it also asks a random
// member to probe the suspect.
func (c *Core) probe(r *row, now time.Time) {
	c.send(r, now)
	query := r.gossipUpdate()
	query.State = port.MemberSuspect
	for _, w := range c.watchers(r) {
		g := c.compose(now)
		g.Rumours = append(g.Rumours, query)
		c.outbox = append(c.outbox, Message{To: w.host.ID, Gossip: g})
	}
	if now.Sub(r.lastContact) < c.settings.IndirectAfter {
		return
	}
	if via := c.randomMember(); via != nil && via != r {
		c.outbox = append(c.outbox, Message{To: via.host.ID, ProbeHost: r.host.ID})
	}
}

// isDead reports whether no host is known to have had contact with a member for
// DeadAfter, provided that this host has watched the member for MinWatch and is
// connected to others.
func (c *Core) isDead(r *row, now time.Time) bool {
	return now.Sub(r.lastContact) >= c.settings.DeadAfter &&
		now.Sub(r.watchedSince) >= c.settings.MinWatch &&
		c.isConnected(now, r)
}

// isConnected reports whether another host has answered this one within
// SuspectAfter, or there is no other host. It distinguishes a silent member from
// the isolation of this host. Only answers count, because requests of others prove
// that this host receives messages but not that its own arrive.
func (c *Core) isConnected(now time.Time, except *row) bool {
	others := 0
	for _, r := range c.ring {
		if r == except || r == c.self {
			continue
		}
		others++
		if now.Sub(r.lastReply) < c.settings.SuspectAfter {
			return true
		}
	}
	return others == 0
}
