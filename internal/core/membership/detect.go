package membership

import (
	"time"

	"yuccausher/internal/port"
)

// detect looks at the watched neighbours.
func (c *Core) detect(now time.Time) {
	isProbing := !now.Before(c.nextProbe)
	probed := false
	for _, r := range c.watched {
		silence := r.silence(now, c.settings.watchGrace())
		if silence < c.settings.SuspectAfter || r.dead {
			continue
		}
		c.suspect(r, now)
		if c.isDead(r, now) {
			c.stats.Deaths++
			c.bury(r, now)
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

func (c *Core) suspect(r *row, now time.Time) {
	if r.suspect {
		return
	}
	c.stats.Suspicions++
	r.suspect = true
	r.since = now
	c.changed = true
}

// probe contacts a suspect, asks its other watchers for later signs of life,
// and at last asks random members to reach it.
func (c *Core) probe(r *row, now time.Time) {
	c.send(r, now)
	question := r.rumour()
	question.State = port.MemberSuspect
	for _, w := range c.watchers(r) {
		g := c.compose(now)
		g.Rumours = append(g.Rumours, question)
		c.out = append(c.out, Message{To: w.host.ID, Gossip: g})
	}
	if now.Sub(r.heard) < c.settings.IndirectAfter {
		return
	}
	if via := c.randomMember(); via != nil && via != r {
		c.out = append(c.out, Message{To: via.host.ID, ProbeHost: r.host.ID})
	}
}

// isDead says whether nobody has heard a member for long enough, and this host
// has listened for long enough and hears others.
func (c *Core) isDead(r *row, now time.Time) bool {
	return now.Sub(r.heard) >= c.settings.DeadAfter &&
		now.Sub(r.watched) >= c.settings.MinWatch &&
		c.isConnected(now, r)
}

// isConnected says whether some other host has answered this one lately, so
// that the silence of a member is not this host's own isolation. Messages that
// others begin prove only that this host hears, not that it is heard.
func (c *Core) isConnected(now time.Time, except *row) bool {
	others := 0
	for _, r := range c.ring {
		if r == except || r == c.self {
			continue
		}
		others++
		if now.Sub(r.answered) < c.settings.SuspectAfter {
			return true
		}
	}
	return others == 0
}
