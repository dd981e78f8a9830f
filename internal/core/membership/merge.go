package membership

import (
	"time"

	"yuccausher/internal/port"
)

// recordContact processes the sender's own state in a message.
func (c *Core) recordContact(now time.Time, g *port.Gossip) {
	if g.From.ID == c.self.host.ID {
		return
	}
	r := c.rows.byID[g.From.ID]
	if r != nil && g.From.Incarnation < r.host.Incarnation {
		c.stats.StaleContacts++
		return
	}
	if r == nil || g.From.Incarnation > r.host.Incarnation {
		r = c.addMember(g.From, now)
	}
	if r.dead {
		c.markAlive(r, r.revision+1, now)
	}
	if g.Leaving {
		c.markLeaving(r, now)
	}
	r.lastContact, r.lastDirect = now, now
	c.clearSuspicion(r, now)
	c.mergeConfigVersion(r, g.ConfigVersion)
}

// addMember adds a new member or a new incarnation of a known one.
func (c *Core) addMember(h port.Host, now time.Time) *row {
	delete(c.listed, h.ID)
	r := newRow(h, now)
	c.rows.put(r)
	c.markChanged()
	c.queueUpdate(h.ID, true, now)
	return r
}

// merge applies a gossip update.
func (c *Core) merge(now time.Time, m *port.Member) {
	if m.ID == c.self.host.ID {
		c.refute(now, m)
		return
	}
	r := c.rows.byID[m.ID]
	if r == nil {
		c.addFromUpdate(now, m)
		return
	}
	switch {
	case m.Incarnation < r.host.Incarnation:
		return
	case m.Incarnation > r.host.Incarnation:
		r = c.addMember(m.Host, now)
		r.revision = m.Revision
		r.lastContact = earlier(m.Since, now)
	}
	c.mergeConfigVersion(r, m.ConfigVersion)
	if m.State == port.MemberDead {
		c.mergeDead(r, m, now)
		return
	}
	c.mergeAlive(r, m, now)
}

// addFromUpdate adds a member that is known only from an update. A dead member is
// not added: hosts would otherwise keep passing it to each other, and none would
// ever remove it.
func (c *Core) addFromUpdate(now time.Time, m *port.Member) {
	if m.State == port.MemberDead {
		return
	}
	delete(c.listed, m.ID)
	r := newRow(m.Host, now)
	r.lastContact = earlier(m.Since, now)
	r.revision = m.Revision
	r.configVersion = m.ConfigVersion
	r.leaving = m.State == port.MemberLeaving
	c.rows.put(r)
	c.markChanged()
	if now.Sub(c.started) >= c.settings.JoinQuietPeriod {
		c.queueUpdate(m.ID, true, now)
	}
}

// refute processes an update about this host itself. It refutes a report of its
// death by a higher revision.
func (c *Core) refute(now time.Time, m *port.Member) {
	if m.Incarnation != c.self.host.Incarnation || m.Revision < c.self.revision {
		return
	}
	if m.State != port.MemberDead {
		if m.Revision > c.self.revision {
			c.self.revision = m.Revision
			c.markChanged()
		}
		return
	}
	c.stats.Refutations++
	c.self.revision = m.Revision + 1
	c.markChanged()
	c.queueUpdate(c.self.host.ID, true, now)
}

// mergeDead applies the update that a member is dead. If this host had direct
// contact with the member within SuspectAfter, it refutes the update instead.
func (c *Core) mergeDead(r *row, m *port.Member, now time.Time) {
	if r.dead || m.Revision < r.revision {
		return
	}
	if !r.lastDirect.IsZero() && now.Sub(r.lastDirect) < c.settings.SuspectAfter {
		c.stats.Refutations++
		r.revision = m.Revision + 1
		c.markChanged()
		c.queueUpdate(m.ID, true, now)
		return
	}
	r.revision = m.Revision
	c.markDead(r, now)
}

// markDead marks a member dead and queues an update for the others.
func (c *Core) markDead(r *row, now time.Time) {
	r.dead, r.suspect = true, false
	r.since = now
	c.markChanged()
	c.queueUpdate(r.host.ID, true, now)
}

// mergeAlive applies the update that a member is not dead.
func (c *Core) mergeAlive(r *row, m *port.Member, now time.Time) {
	switch {
	case r.dead && m.Revision > r.revision:
		c.markAlive(r, m.Revision, now)
	case r.dead:
		return
	case m.Revision > r.revision:
		r.revision = m.Revision
		c.markChanged()
		c.queueUpdate(m.ID, true, now)
	}
	if m.State == port.MemberLeaving {
		c.markLeaving(r, now)
	}
	r.lastContact = later(r.lastContact, earlier(m.Since, now))
	c.clearSuspicion(r, now)
}

// markAlive marks a dead member alive and queues an update for the others.
func (c *Core) markAlive(r *row, revision uint64, now time.Time) {
	r.dead = false
	r.revision = revision
	r.since = now
	c.markChanged()
	c.queueUpdate(r.host.ID, true, now)
}

func (c *Core) markLeaving(r *row, now time.Time) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.since = now
	c.markChanged()
	c.queueUpdate(r.host.ID, true, now)
}

// clearSuspicion ends the suspicion of a member if its last contact is recent
// enough.
func (c *Core) clearSuspicion(r *row, now time.Time) {
	if r.suspect && now.Sub(r.lastContact) < c.settings.SuspectAfter {
		r.suspect = false
		r.since = now
		c.changed = true
	}
}

func (c *Core) mergeConfigVersion(r *row, version int64) {
	if version > r.configVersion {
		r.configVersion = version
		c.changed = true
	}
}
