package membership

import (
	"time"

	"yuccausher/internal/port"
)

// connectedShare is the least share of the watched hosts, as one in so many,
// that must have been heard for this host to trust its own silence.
const connectedShare = 4

// detect looks at the watched neighbours.
func (c *Core) detect(now time.Time) {
	isProbing := !now.Before(c.nextProbe)
	probed := false
	grace := c.settings.DeadAfter - c.settings.WatchLeast
	for _, r := range c.watched {
		silence := r.silence(now, grace)
		if silence < c.settings.SuspectAfter || r.dead {
			continue
		}
		c.suspect(r, now)
		if silence >= c.settings.DeadAfter && c.isConnected(now, r) {
			c.stats.Deaths++
			c.bury(r, now)
			continue
		}
		if isProbing {
			c.probe(r, silence, now)
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
func (c *Core) probe(r *row, silence time.Duration, now time.Time) {
	c.send(r, now)
	question := r.rumour()
	question.State = port.MemberSuspect
	for _, w := range c.watchers(r) {
		g := c.compose(now)
		g.Rumours = append(g.Rumours, question)
		c.out = append(c.out, Message{To: w.host.ID, Gossip: g})
	}
	if silence < c.settings.IndirectAfter {
		return
	}
	if via := c.randomMember(); via != nil && via != r {
		c.out = append(c.out, Message{To: via.host.ID, About: r.host.ID})
	}
}

// isConnected says whether this host hears enough others to take the silence
// of one for its death and not for its own isolation.
func (c *Core) isConnected(now time.Time, except *row) bool {
	heard, others := 0, 0
	for _, r := range c.watched {
		if r == except {
			continue
		}
		others++
		if now.Sub(r.direct) < c.settings.SuspectAfter {
			heard++
		}
	}
	return others == 0 || heard*connectedShare >= others && heard > 0
}
