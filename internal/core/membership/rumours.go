package membership

import (
	"math/bits"
	"slices"
	"time"
)

// rumour is a change that is still told to others.
type rumour struct {
	id string
	// left is how many more messages carry it.
	left int
	// rounds is how many more times it is pushed at once.
	rounds int
}

// spread queues the state of a member to be told. An urgent one is pushed
// without waiting for the next heartbeat.
func (c *Core) spread(id string, urgent bool, now time.Time) {
	c.rumours = slices.DeleteFunc(c.rumours, func(r *rumour) bool { return r.id == id })
	r := &rumour{id: id, left: 3 * bits.Len(uint(len(c.rows.ordered)+1))}
	if urgent {
		r.rounds = c.settings.FlushRounds
		c.flushBy(now.Add(c.settings.FlushDelay))
	}
	c.rumours = append(c.rumours, r)
}

// flushBy moves the next push to t, if it would be later.
func (c *Core) flushBy(t time.Time) {
	if c.nextFlush.IsZero() || t.Before(c.nextFlush) {
		c.nextFlush = t
	}
}

// pick takes the rumours for one message, the least told first.
func (c *Core) pick() []*rumour {
	slices.SortStableFunc(c.rumours, func(a, b *rumour) int { return b.left - a.left })
	picked := slices.Clone(c.rumours[:min(len(c.rumours), c.settings.MaxUpdates)])
	for _, r := range picked {
		r.left--
	}
	c.rumours = slices.DeleteFunc(c.rumours, func(r *rumour) bool { return r.left <= 0 })
	return picked
}

// flush pushes urgent rumours to random members.
func (c *Core) flush(now time.Time) {
	if c.nextFlush.IsZero() || now.Before(c.nextFlush) {
		return
	}
	c.nextFlush = time.Time{}
	if !c.takeRound() {
		return
	}
	for range c.settings.Fanout {
		c.send(c.randomMember(), now)
	}
	c.flushBy(now.Add(c.settings.ProbeInterval / 2))
}

// takeRound uses up one round of each urgent rumour; it says whether there
// was any.
func (c *Core) takeRound() bool {
	any := false
	for _, r := range c.rumours {
		if r.rounds > 0 {
			r.rounds--
			any = true
		}
	}
	return any
}
