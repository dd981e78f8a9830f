package membership

import (
	"time"

	"yuccausher/internal/port"
)

// contact notes a message that came from a member itself.
func (c *Core) contact(now time.Time, g *port.Gossip) {
	if g.From.ID == c.self.host.ID {
		return
	}
	r := c.rows.byID[g.From.ID]
	if r != nil && g.From.Incarnation < r.host.Incarnation {
		c.stats.StaleContacts++
		return
	}
	if r == nil || g.From.Incarnation > r.host.Incarnation {
		r = c.admit(g.From, now)
	}
	if r.dead {
		c.revive(r, r.revision+1, now)
	}
	if g.Leaving {
		c.markLeaving(r, now)
	}
	r.heard, r.direct = now, now
	c.clear(r, now)
	c.learnVersion(r, g.ConfigVersion)
}

// admit adds a new member, or a new incarnation of a known one.
func (c *Core) admit(h port.Host, now time.Time) *row {
	delete(c.listed, h.ID)
	r := newRow(h, now)
	c.rows.put(r)
	c.update()
	c.spread(h.ID, true, now)
	return r
}

// merge takes a rumour.
func (c *Core) merge(now time.Time, m *port.Member) {
	if m.ID == c.self.host.ID {
		c.refute(now, m)
		return
	}
	r := c.rows.byID[m.ID]
	if r == nil {
		c.learn(now, m)
		return
	}
	switch {
	case m.Incarnation < r.host.Incarnation:
		return
	case m.Incarnation > r.host.Incarnation:
		r = c.admit(m.Host, now)
		r.revision = m.Revision
		r.heard = earlier(m.Since, now)
	}
	c.learnVersion(r, m.ConfigVersion)
	if m.State == port.MemberDead {
		c.hearDeath(r, m, now)
		return
	}
	c.hearAlive(r, m, now)
}

// learn adds a member that is only known from a rumour. A dead one is not
// added, or else it would never be forgotten everywhere.
func (c *Core) learn(now time.Time, m *port.Member) {
	if m.State == port.MemberDead {
		return
	}
	delete(c.listed, m.ID)
	r := newRow(m.Host, now)
	r.heard = earlier(m.Since, now)
	r.revision = m.Revision
	r.version = m.ConfigVersion
	r.leaving = m.State == port.MemberLeaving
	c.rows.put(r)
	c.update()
	if now.Sub(c.started) >= c.settings.JoinQuietPeriod {
		c.spread(m.ID, true, now)
	}
}

// refute answers a wrong belief about this host with a higher revision.
func (c *Core) refute(now time.Time, m *port.Member) {
	if m.Incarnation != c.self.host.Incarnation || m.Revision < c.self.revision {
		return
	}
	if m.State != port.MemberDead {
		if m.Revision > c.self.revision {
			c.self.revision = m.Revision
			c.update()
		}
		return
	}
	c.stats.Refutations++
	c.self.revision = m.Revision + 1
	c.update()
	c.spread(c.self.host.ID, true, now)
}

// hearDeath takes the rumour that a member is dead, unless the member itself
// was heard just now.
func (c *Core) hearDeath(r *row, m *port.Member, now time.Time) {
	if r.dead || m.Revision < r.revision {
		return
	}
	if !r.direct.IsZero() && now.Sub(r.direct) < c.settings.SuspectAfter {
		c.stats.Refutations++
		r.revision = m.Revision + 1
		c.update()
		c.spread(m.ID, true, now)
		return
	}
	r.revision = m.Revision
	c.bury(r, now)
}

// bury marks a member dead and tells the others.
func (c *Core) bury(r *row, now time.Time) {
	r.dead, r.suspect = true, false
	r.since = now
	c.update()
	c.spread(r.host.ID, true, now)
}

func (c *Core) hearAlive(r *row, m *port.Member, now time.Time) {
	switch {
	case r.dead && m.Revision > r.revision:
		c.revive(r, m.Revision, now)
	case r.dead:
		return
	case m.Revision > r.revision:
		r.revision = m.Revision
		c.update()
		c.spread(m.ID, true, now)
	}
	if m.State == port.MemberLeaving {
		c.markLeaving(r, now)
	}
	r.heard = later(r.heard, earlier(m.Since, now))
	c.clear(r, now)
}

// revive takes a member that was taken for dead back.
func (c *Core) revive(r *row, revision uint64, now time.Time) {
	r.dead = false
	r.revision = revision
	r.since = now
	c.update()
	c.spread(r.host.ID, true, now)
}

func (c *Core) markLeaving(r *row, now time.Time) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.since = now
	c.update()
	c.spread(r.host.ID, true, now)
}

// clear ends the suspicion of a member that was heard lately.
func (c *Core) clear(r *row, now time.Time) {
	if r.suspect && now.Sub(r.heard) < c.settings.SuspectAfter {
		r.suspect = false
		r.since = now
		c.changed = true
	}
}

func (c *Core) learnVersion(r *row, version int64) {
	if version > r.version {
		r.version = version
		c.changed = true
	}
}
