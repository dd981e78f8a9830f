package membership

import (
	"math/bits"
	"slices"
	"time"
)

// update is a change of a member that is still being disseminated.
type update struct {
	memberID string
	// sendsLeft is the number of further messages that carry the update.
	sendsLeft int
	// roundsLeft is the number of further rounds in which the update is pushed
	// without waiting for the next heartbeat.
	roundsLeft int
}

// queueUpdate queues the state of a member for dissemination, replacing a queued
// update of the same member. An urgent update is also pushed without waiting for
// the next heartbeat.
func (c *Core) queueUpdate(id string, urgent bool, now time.Time) {
	c.updates = slices.DeleteFunc(c.updates, func(u *update) bool { return u.memberID == id })
	u := &update{memberID: id, sendsLeft: 3 * bits.Len(uint(len(c.rows.sorted)+1))}
	if urgent {
		u.roundsLeft = c.settings.FlushRounds
		c.flushBy(now.Add(c.settings.FlushDelay))
	}
	c.updates = append(c.updates, u)
}

// flushBy moves the next push to t unless it is earlier already.
func (c *Core) flushBy(t time.Time) {
	if c.nextFlush.IsZero() || t.Before(c.nextFlush) {
		c.nextFlush = t
	}
}

// nextUpdates returns the updates for one message, those with the most sends left
// first, and removes updates that have no sends left.
func (c *Core) nextUpdates() []*update {
	slices.SortStableFunc(c.updates, func(a, b *update) int { return b.sendsLeft - a.sendsLeft })
	picked := slices.Clone(c.updates[:min(len(c.updates), c.settings.MaxUpdates)])
	for _, u := range picked {
		u.sendsLeft--
	}
	c.updates = slices.DeleteFunc(c.updates, func(u *update) bool { return u.sendsLeft <= 0 })
	return picked
}

// flush pushes urgent updates to random members.
func (c *Core) flush(now time.Time) {
	if c.nextFlush.IsZero() || now.Before(c.nextFlush) {
		return
	}
	c.nextFlush = time.Time{}
	if !c.consumeRound() {
		return
	}
	for range c.settings.Fanout {
		c.send(c.randomMember(), now)
	}
	c.flushBy(now.Add(c.settings.ProbeInterval / 2))
}

// consumeRound consumes one round of each urgent update and reports whether there
// was any.
func (c *Core) consumeRound() bool {
	any := false
	for _, u := range c.updates {
		if u.roundsLeft > 0 {
			u.roundsLeft--
			any = true
		}
	}
	return any
}
