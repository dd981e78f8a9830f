package membership

import (
	"slices"
	"time"

	"yuccausher/internal/port"
)

// Handle takes the request of another host and returns the answer.
func (c *Core) Handle(now time.Time, g port.Gossip) port.Gossip {
	c.take(now, &g)
	reply := c.compose(now)
	for i := range g.Rumours {
		reply.Rumours = c.answer(reply.Rumours, &g.Rumours[i])
	}
	if r := c.rows.byID[g.From.ID]; r != nil && r.host.Incarnation > g.From.Incarnation {
		reply.Rumours = append(reply.Rumours, r.rumour())
	}
	if g.Digest != c.digest {
		reply.Rumours = c.addRows(reply.Rumours, c.sync.take(now, c.settings.SyncRows))
	}
	return reply
}

// HandleReply takes the answer to one of this host's requests.
func (c *Core) HandleReply(now time.Time, g port.Gossip) {
	c.take(now, &g)
	if r := c.rows.byID[g.From.ID]; r != nil {
		r.answered = now
	}
}

// Reached notes that another host has just reached a member.
func (c *Core) HandleIndirectAck(now time.Time, id string) {
	if r := c.rows.byID[id]; r != nil && !r.dead {
		r.heard = now
		c.clear(r, now)
	}
}

func (c *Core) take(now time.Time, g *port.Gossip) {
	c.contact(now, g)
	for i := range g.Rumours {
		c.merge(now, &g.Rumours[i])
	}
	c.refresh(now)
}

// answer adds what this host knows better than a rumour: a later sign of life
// of a suspect, or the life of one that is called dead.
func (c *Core) answer(rows []port.Member, m *port.Member) []port.Member {
	r := c.rows.byID[m.ID]
	if r == nil || r == c.self {
		return rows
	}
	isAsked := m.State == port.MemberSuspect && r.heard.After(m.Since)
	isWrong := m.State == port.MemberDead && !r.dead
	isLate := m.State != port.MemberDead && r.dead
	if isAsked || isWrong || isLate {
		return append(rows, r.rumour())
	}
	return rows
}

// compose returns a message with the rumours whose turn it is.
func (c *Core) compose(now time.Time) port.Gossip {
	c.self.heard = now
	g := port.Gossip{
		From:          c.self.host,
		Leaving:       c.self.leaving,
		ConfigVersion: c.self.version,
		Digest:        c.digest,
	}
	for _, r := range c.pick() {
		if known := c.rows.byID[r.id]; known != nil {
			g.Rumours = append(g.Rumours, known.rumour())
		}
	}
	return g
}

// Request returns the message of an exchange that is made for another host.
func (c *Core) Request(now time.Time) port.Gossip { return c.request(now) }

// request returns a message that begins an exchange. It carries one row in
// turn, so that versions reach hosts that are no neighbours.
func (c *Core) request(now time.Time) port.Gossip {
	g := c.compose(now)
	g.Rumours = c.addRows(g.Rumours, 1)
	return g
}

// send begins an exchange with a member; nil is none.
func (c *Core) send(r *row, now time.Time) {
	if r != nil {
		c.out = append(c.out, Message{To: r.host.ID, Gossip: c.request(now)})
	}
}

// addRows adds the next rows of the ring, in turn.
func (c *Core) addRows(rows []port.Member, count int) []port.Member {
	count = min(count, len(c.ring))
	for range count {
		c.cursor = (c.cursor + 1) % len(c.ring)
		r := c.ring[c.cursor]
		isTold := slices.ContainsFunc(rows, func(m port.Member) bool { return m.ID == r.host.ID })
		if !isTold && r != c.self {
			rows = append(rows, r.rumour())
		}
	}
	return rows
}

// tokens bounds the rows that are sent to hosts with other tables.
type tokens struct {
	rate int
	most int
	left float64
	last time.Time
}

// take returns how many rows may be sent now, at most want.
func (t *tokens) take(now time.Time, want int) int {
	t.left = min(float64(t.most), t.left+now.Sub(t.last).Seconds()*float64(t.rate))
	t.last = now
	n := min(want, int(t.left))
	t.left -= float64(n)
	return n
}
