package membership

import (
	"slices"
	"time"

	"yuccausher/internal/port"
)

// Handle processes the request of another host and returns the reply.
func (c *Core) Handle(now time.Time, g port.Gossip) port.Gossip {
	c.receive(now, &g)
	reply := c.compose(now)
	for i := range g.Rumours {
		reply.Rumours = c.appendCorrection(reply.Rumours, &g.Rumours[i])
	}
	if r := c.rows.byID[g.From.ID]; r != nil && r.host.Incarnation > g.From.Incarnation {
		reply.Rumours = append(reply.Rumours, r.gossipUpdate())
	}
	if g.Digest != c.digest {
		reply.Rumours = c.addRows(reply.Rumours, c.syncLimit.take(now, c.settings.SyncRows))
	}
	return reply
}

// HandleReply processes the reply to one of this host's requests.
func (c *Core) HandleReply(now time.Time, g port.Gossip) {
	c.receive(now, &g)
	if r := c.rows.byID[g.From.ID]; r != nil {
		r.lastReply = now
	}
}

// HandleIndirectAck processes the report that another host has just reached the
// member with that ID.
func (c *Core) HandleIndirectAck(now time.Time, id string) {
	if r := c.rows.byID[id]; r != nil && !r.dead {
		r.lastContact = now
		c.clearSuspicion(r, now)
	}
}

// receive processes the sender's state and the updates of a message.
func (c *Core) receive(now time.Time, g *port.Gossip) {
	c.recordContact(now, g)
	for i := range g.Rumours {
		c.merge(now, &g.Rumours[i])
	}
	c.rebuildRing(now)
}

// appendCorrection appends this host's row of a member if it corrects update m:
// it has a later contact with a suspect, or a different view of whether the member
// is dead.
func (c *Core) appendCorrection(rows []port.Member, m *port.Member) []port.Member {
	r := c.rows.byID[m.ID]
	if r == nil || r == c.self {
		return rows
	}
	hasLaterContact := m.State == port.MemberSuspect && r.lastContact.After(m.Since)
	isFalseDeath := m.State == port.MemberDead && !r.dead
	isMissingDeath := m.State != port.MemberDead && r.dead
	if hasLaterContact || isFalseDeath || isMissingDeath {
		return append(rows, r.gossipUpdate())
	}
	return rows
}

// compose returns a message with the updates that are to be sent next.
func (c *Core) compose(now time.Time) port.Gossip {
	c.self.lastContact = now
	g := port.Gossip{
		From:          c.self.host,
		Leaving:       c.self.leaving,
		ConfigVersion: c.self.configVersion,
		Digest:        c.digest,
	}
	for _, u := range c.nextUpdates() {
		if known := c.rows.byID[u.memberID]; known != nil {
			g.Rumours = append(g.Rumours, known.gossipUpdate())
		}
	}
	return g
}

// Request returns the request for a probe that is made on behalf of another host.
func (c *Core) Request(now time.Time) port.Gossip { return c.request(now) }

// request returns a message that starts an exchange. In addition to updates it
// carries one row of the table, round robin, so that configuration versions reach
// hosts that are not neighbours.
func (c *Core) request(now time.Time) port.Gossip {
	g := c.compose(now)
	g.Rumours = c.addRows(g.Rumours, 1)
	return g
}

// send starts an exchange with a member. It does nothing if r is nil.
func (c *Core) send(r *row, now time.Time) {
	if r != nil {
		c.outbox = append(c.outbox, Message{To: r.host.ID, Gossip: c.request(now)})
	}
}

// addRows appends up to count rows of the ring, round robin.
func (c *Core) addRows(rows []port.Member, count int) []port.Member {
	count = min(count, len(c.ring))
	for range count {
		c.cursor = (c.cursor + 1) % len(c.ring)
		r := c.ring[c.cursor]
		isIncluded := slices.ContainsFunc(rows, func(m port.Member) bool { return m.ID == r.host.ID })
		if !isIncluded && r != c.self {
			rows = append(rows, r.gossipUpdate())
		}
	}
	return rows
}

// rateLimit is a token bucket that limits the rows sent to hosts whose tables
// differ.
type rateLimit struct {
	rate       int
	burst      int
	available  float64
	refilledAt time.Time
}

// take consumes up to want tokens and returns how many rows may be sent now.
func (t *rateLimit) take(now time.Time, want int) int {
	t.available = min(float64(t.burst), t.available+now.Sub(t.refilledAt).Seconds()*float64(t.rate))
	t.refilledAt = now
	n := min(want, int(t.available))
	t.available -= float64(n)
	return n
}
